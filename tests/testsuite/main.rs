//! Holds the integration tests, a module per topic.

mod report;
mod settings;
mod settings_edits;
