//! Holds the integration tests, a module per topic.

mod decoders;
mod report;
mod settings;
