//! Holds the integration tests, a module per topic.

mod experiments;
mod flows;
mod flows_scenarios;
mod flows_world;
mod settings;
