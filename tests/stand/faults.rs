//! Gateways with injected system call faults. The library of `crates/fault-injection` is loaded before the C library.

use super::Gateway;
use std::path::{Path, PathBuf};
use std::process::Command;

/// Returns the path of the fault injection library, which Cargo builds into the folder of the test binaries.
pub(crate) fn library_path() -> PathBuf {
    let own = std::env::current_exe().expect("a path");
    let library_path = own.parent().expect("a folder").join("libstarlingplank_fault_injection.so");
    assert!(library_path.is_file(), "{}: the library was not built with these tests", library_path.display());
    library_path
}

/// Faults that are injected into one process while they are switched on.
pub(crate) struct Faults {
    folder: tempfile::TempDir,
    plan: String,
}

impl Faults {
    /// Creates faults with the given plan, initially switched off.
    pub(crate) fn new(plan: &str) -> Self {
        Self { folder: tempfile::tempdir().expect("a folder"), plan: plan.to_owned() }
    }

    fn switch(&self) -> PathBuf {
        self.folder.path().join("on")
    }

    /// Switches the faults on.
    pub(crate) fn begin(&self) {
        std::fs::write(self.switch(), "").expect("a file");
    }

    /// Switches the faults off.
    pub(crate) fn end(&self) {
        std::fs::remove_file(self.switch()).expect("the faults were switched on");
    }

    /// Waits until a fault with the given name has occurred.
    pub(crate) fn wait_for_fault(&self, fault: &str) {
        let report = self.folder.path().join(format!("on.{fault}"));
        super::wait_until(|| report.exists());
    }

    /// Sets up a command so that its process runs with these faults.
    pub(crate) fn load_into(&self, command: &mut Command) {
        command.env("LD_PRELOAD", library_path());
        command.env("STARLINGPLANK_FAULTS", format!("{},switch={}", self.plan, self.switch().display()));
    }
}

impl Gateway {
    /// Starts a gateway with injected faults.
    pub(crate) fn start_with_faults(config: &str, faults: &Faults) -> Self {
        let file = faults.folder.path().join("config.json");
        std::fs::write(&file, config).expect("a file");
        Self::spawn(Self::command_with_faults(faults), file)
    }

    /// Returns a command that runs the gateway with injected faults. Its configuration file is not set yet.
    pub(crate) fn command_with_faults(faults: &Faults) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_starlingplank"));
        command.arg("serve");
        faults.load_into(&mut command);
        command
    }

    /// Starts a gateway by the given command, with the given configuration file.
    pub(crate) fn start_command(command: Command, file: &Path) -> Self {
        Self::spawn(command, file.to_owned())
    }
}
