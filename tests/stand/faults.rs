//! Gateways whose system calls fail: the library of `crates/fault-injection` loaded before the C library.

use super::Gateway;
use std::path::{Path, PathBuf};
use std::process::Command;

/// The library, built beside these tests.
pub(crate) fn library() -> PathBuf {
    let own = std::env::current_exe().expect("a path");
    let library = own.parent().expect("a folder").join("libstarlingplank_fault_injection.so");
    assert!(library.is_file(), "{}: it is built as a dependency of these tests", library.display());
    library
}

/// The faults of one process, which happen while they are switched on.
pub(crate) struct Faults {
    folder: tempfile::TempDir,
    plan: String,
}

impl Faults {
    /// A plan, switched off.
    pub(crate) fn new(plan: &str) -> Self {
        Self { folder: tempfile::tempdir().expect("a folder"), plan: plan.to_owned() }
    }

    fn switch(&self) -> PathBuf {
        self.folder.path().join("on")
    }

    /// From now on faults happen.
    pub(crate) fn begin(&self) {
        std::fs::write(self.switch(), "").expect("a file");
    }

    /// From now on none happens.
    pub(crate) fn end(&self) {
        std::fs::remove_file(self.switch()).expect("it was on");
    }

    /// Waits until a fault of that name has happened.
    pub(crate) fn until_happened(&self, fault: &str) {
        let told = self.folder.path().join(format!("on.{fault}"));
        super::until_true(|| told.exists());
    }

    /// Has a command run with these faults.
    pub(crate) fn load_into(&self, command: &mut Command) {
        command.env("LD_PRELOAD", library());
        command.env("STARLINGPLANK_FAULTS", format!("{},switch={}", self.plan, self.switch().display()));
    }
}

impl Gateway {
    /// A gateway with faults.
    pub(crate) fn start_with_faults(config: &str, faults: &Faults) -> Self {
        let file = faults.folder.path().join("config.json");
        std::fs::write(&file, config).expect("a file");
        Self::spawn(Self::command_with_faults(faults), file)
    }

    /// The command that serves, with faults; its configuration is still to be named.
    pub(crate) fn command_with_faults(faults: &Faults) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_starlingplank"));
        command.arg("serve");
        faults.load_into(&mut command);
        command
    }

    /// Starts a command that serves the configuration of that file.
    pub(crate) fn start_command(command: Command, file: &Path) -> Self {
        Self::spawn(command, file.to_owned())
    }
}
