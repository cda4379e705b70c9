use std::path::Path;

use serde::de::DeserializeOwned;
use snafu::ResultExt;

use super::DaemonError;
use super::daemon_error::{InvalidSettingsSnafu, ReadSettingsSnafu};

/// Reads the text of a settings file.
///
/// # Errors
///
/// Fails if the file cannot be read.
pub fn read_settings(path: &Path) -> Result<Vec<u8>, DaemonError> {
    std::fs::read(path).context(ReadSettingsSnafu {
        path: path.display().to_string(),
    })
}

/// Parses the JSON text of a settings file; `path` is used in error messages.
///
/// # Errors
///
/// Fails if the text does not match the expected structure; the error has the JSON path of the
/// first mismatch.
pub fn parse_settings<T: DeserializeOwned>(text: &[u8], path: &str) -> Result<T, DaemonError> {
    let mut de = serde_json::Deserializer::from_slice(text);
    serde_path_to_error::deserialize(&mut de).map_err(|e| {
        let json_path = format!("$.{}", e.path());
        let text = e.inner().to_string();
        InvalidSettingsSnafu {
            path,
            json_path,
            text,
        }
        .build()
    })
}
