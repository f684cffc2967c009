//! Member processes, which are killed when they are dropped.

use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};

use primrosebay_platform::BOOT_VARIABLE;
use primrosebay_platform_standin::MemberAddresses;

/// A member and its process.
#[derive(Debug)]
pub struct Member {
    pub addresses: MemberAddresses,
    settings_file: PathBuf,
    pub child: Child,
}

/// Where a member runs.
#[derive(Debug)]
pub struct Place<'a> {
    pub directory: &'a Path,
    /// Number of the member in its cell.
    pub number: usize,
    /// Descriptors that the operating system allows the process; `None` for those of the test.
    pub descriptors: Option<u32>,
}

impl Member {
    /// Starts a member with a loopback address of its own; `settings` returns the text of the
    /// settings file.
    pub fn start(
        directory: &Path,
        number: usize,
        store: SocketAddr,
        settings: impl FnOnce(&str, MemberAddresses) -> String,
    ) -> Self {
        let place = Place {
            directory,
            number,
            descriptors: None,
        };
        Self::start_in(&place, store, settings)
    }

    /// Starts a member in `place` with a loopback address of its own; `settings` returns the text of
    /// the settings file.
    pub fn start_in(
        place: &Place<'_>,
        store: SocketAddr,
        settings: impl FnOnce(&str, MemberAddresses) -> String,
    ) -> Self {
        let (directory, number) = (place.directory, place.number);
        let addresses = MemberAddresses::of_test(store);
        let settings_file = directory.join(format!("member-{number}"));
        let text = settings(&format!("member-{number}"), addresses);
        fs::write(&settings_file, text).unwrap();
        let log = |kind| File::create(settings_file.with_extension(kind)).unwrap();
        let child = command(place.descriptors)
            .arg("member")
            .env(BOOT_VARIABLE, &settings_file)
            .stdout(log("log"))
            .stderr(log("err"))
            .spawn()
            .unwrap();
        Self {
            addresses,
            settings_file,
            child,
        }
    }

    /// Returns what the member has written: `log` for its log, `err` for its errors.
    pub fn output(&self, kind: &str) -> String {
        fs::read_to_string(self.settings_file.with_extension(kind)).unwrap()
    }
}

impl Drop for Member {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the command of the program with this limit of open descriptors.
fn command(descriptors: Option<u32>) -> Command {
    let program = env!("CARGO_BIN_EXE_primrosebay");
    let Some(count) = descriptors else {
        return Command::new(program);
    };
    let mut command = Command::new("sh");
    let script = format!("ulimit -n {count} && exec \"$0\" \"$@\"");
    command.args(["-c", &script, program]);
    command
}
