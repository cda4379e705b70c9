//! Holds the integration tests, a module per topic.

mod flows;
mod flows_scenarios;
mod flows_schedules;
mod flows_world;
mod settings;
