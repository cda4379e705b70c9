use super::{Figure, PolicyValue};
use crate::experiments::MeasureLine;

/// A table of measured values grouped by figure and policy.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FigureTable {
    /// The figures in the order of their first line.
    pub figures: Vec<Figure>,
}

impl FigureTable {
    /// Groups `lines`, keeping the order in which figures and policies first appear.
    pub fn collect(lines: &[MeasureLine]) -> Self {
        let mut table = Self::default();
        for line in lines {
            table.add(line);
        }
        for figure in &mut table.figures {
            for policy in &mut figure.policies {
                policy.values.sort_by(f64::total_cmp);
            }
        }
        table
    }

    fn add(&mut self, line: &MeasureLine) {
        let figure = self.figure_mut(line);
        let found = figure.policies.iter_mut().find(|p| p.policy == line.policy);
        match found {
            Some(policy) => policy.values.push(line.value),
            None => {
                let values = vec![line.value];
                figure.policies.push(PolicyValue {
                    policy: line.policy.clone(),
                    values,
                });
            }
        }
    }

    fn figure_mut(&mut self, line: &MeasureLine) -> &mut Figure {
        let is_same = |f: &Figure| *f.measure == *line.measure && f.name == line.figure;
        let index = self.figures.iter().position(is_same).unwrap_or_else(|| {
            self.figures.push(Figure {
                measure: line.measure.into(),
                name: line.figure.clone(),
                unit: line.unit.into(),
                policies: Vec::new(),
            });
            self.figures.len() - 1
        });
        &mut self.figures[index]
    }
}
