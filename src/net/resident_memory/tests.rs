use super::*;

#[test]
fn sizes_are_read_in_bytes() {
    let status = "Name:\tgateway\nVmHWM:\t    5052 kB\nVmRSS:\t    4096 kB\n";
    assert_eq!(ResidentMemory::parse(status), ResidentMemory { bytes: 4 << 20, peak: 5052 << 10 });
    assert_eq!(ResidentMemory::parse(""), ResidentMemory::default());
    assert!(ResidentMemory::read().peak > 0);
}
