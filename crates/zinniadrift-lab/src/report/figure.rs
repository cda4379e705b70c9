/// A figure with its values for each policy.
#[derive(Clone, Debug, PartialEq)]
pub struct Figure {
    /// The experiment's name.
    pub measure: Box<str>,
    /// The figure's name.
    pub name: Box<str>,
    /// The unit of the values.
    pub unit: Box<str>,
    /// The policies in the order in which the experiment lists them.
    pub policies: Vec<PolicyValue>,
}

/// The values of a figure for one policy over all seeds.
#[derive(Clone, Debug, PartialEq)]
pub struct PolicyValue {
    /// The policy's name.
    pub policy: Box<str>,
    /// One value per seed, in ascending order.
    pub values: Vec<f64>,
}

impl PolicyValue {
    /// Returns the median over the seeds, or NaN if there are no values.
    pub fn median(&self) -> f64 {
        match self.values.len() {
            0 => f64::NAN,
            n if n % 2 == 1 => self.values[n / 2],
            n => f64::midpoint(self.values[n / 2 - 1], self.values[n / 2]),
        }
    }

    /// Returns the largest value, or NaN if there are no values.
    pub fn worst(&self) -> f64 {
        self.values.last().copied().unwrap_or(f64::NAN)
    }
}
