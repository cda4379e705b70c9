use std::net::SocketAddr;
use std::path::PathBuf;

use pico_args::Arguments;

use zinniadrift_core::settings::Node;
use zinniadrift_store::{AcceptedEdit, HttpStore, RepositorySettings, SettingsRepository};

use crate::ctl_error::CtlError;

/// The arguments that every command takes.
pub(super) struct CommonArgs {
    platform: SocketAddr,
    user: Box<str>,
}

impl CommonArgs {
    pub(super) fn parse(args: &mut Arguments) -> Result<Self, CtlError> {
        let platform = args.value_from_str("--platform")?;
        let user: String = args.value_from_str("--user")?;
        Ok(Self {
            platform,
            user: user.into(),
        })
    }

    pub(super) fn repository(&self) -> SettingsRepository<HttpStore> {
        self.repository_with(RepositorySettings::default())
    }

    pub(super) fn repository_with(&self, cfg: RepositorySettings) -> SettingsRepository<HttpStore> {
        SettingsRepository::with_settings(HttpStore::new(self.platform), &self.user, cfg)
    }
}

/// Fails if there are arguments that the command did not read.
pub(super) fn reject_unused_arguments(args: Arguments) -> Result<(), CtlError> {
    match args.finish().first() {
        Some(arg) => {
            let text = format!("unknown argument {}; see --help", arg.display());
            Err(CtlError::usage(text))
        }
        None => Ok(()),
    }
}

/// Reads a settings tree from a file and checks it.
pub(super) fn read_tree(path: &PathBuf) -> Result<Node, CtlError> {
    let displayed_path: Box<str> = path.display().to_string().into();
    let text = std::fs::read(path).map_err(|source| CtlError::ReadFile {
        path: displayed_path.clone(),
        source,
    })?;
    Node::parse(&text).map_err(|errors| CtlError::InvalidSettings {
        path: displayed_path,
        errors,
    })
}

/// Prints the changes of an accepted edit and its version.
pub(super) fn print_edit(edit: &AcceptedEdit) {
    for change in &edit.changes {
        println!("{change}");
    }
    if edit.changes.is_empty() {
        println!("no change: version {} holds these settings", edit.version);
    } else {
        println!("accepted as version {}", edit.version);
    }
}

/// Runs a future to completion on a new single-threaded runtime.
pub(super) fn block_on<T>(fut: impl Future<Output = Result<T, CtlError>>) -> Result<T, CtlError> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|source| CtlError::Start { source })?
        .block_on(fut)
}
