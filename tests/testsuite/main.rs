//! Holds the integration tests, a module per topic.

mod decoders;
mod experiments;
mod flows;
mod flows_reports;
mod flows_scenarios;
mod flows_world;
mod report;
mod settings;
