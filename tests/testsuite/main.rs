//! Holds the integration tests, a module per topic.

mod config;
mod platform_edits;
mod platform_history;
mod report;
mod settings;
mod settings_distribution;
mod settings_edits;
