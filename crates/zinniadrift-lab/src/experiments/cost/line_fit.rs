/// A straight line fitted to points by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LineFit {
    /// The change of the value per unit of size.
    pub(crate) slope: f64,
    pub(crate) intercept: f64,
}

impl LineFit {
    pub(crate) fn of(points: &[(usize, f64)]) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| *x as f64).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let covariance: f64 = points
            .iter()
            .map(|(x, y)| (*x as f64 - mean_x) * (y - mean_y))
            .sum();
        let variance: f64 = points
            .iter()
            .map(|(x, _)| (*x as f64 - mean_x).powi(2))
            .sum();
        let slope = covariance / variance;
        Self {
            slope,
            intercept: mean_y - slope * mean_x,
        }
    }
}
