//! Resident memory of this process, as the kernel counts it.

/// Resident memory of the process, in bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ResidentMemory {
    /// Bytes that are resident now.
    pub bytes: usize,
    /// Largest number of bytes that were resident at a time.
    pub peak: usize,
}

impl ResidentMemory {
    /// Reads the resident memory of this process; zeros where the kernel does not tell it.
    pub fn read() -> Self {
        std::fs::read_to_string("/proc/self/status")
            .map_or_else(|_| Self::default(), |text| Self::parse(&text))
    }

    fn parse(status: &str) -> Self {
        let bytes_of = |name: &str| {
            let value = status.lines().find_map(|line| line.strip_prefix(name))?;
            value.trim().strip_suffix(" kB")?.parse::<usize>().ok().map(|kilobytes| kilobytes * 1024)
        };
        Self { bytes: bytes_of("VmRSS:").unwrap_or(0), peak: bytes_of("VmHWM:").unwrap_or(0) }
    }
}

#[cfg(test)]
mod tests;
