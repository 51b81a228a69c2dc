//! Least-squares fits of a line to measured values.

use std::fmt;

/// A fitted line with the standard error of its slope.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct LinearFit {
    pub(crate) intercept: f64,
    pub(crate) slope: f64,
    pub(crate) slope_error: f64,
}

impl LinearFit {
    /// Fits a line to at least three points.
    pub(crate) fn through(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean =
            |coordinate: fn(&(f64, f64)) -> f64| points.iter().map(coordinate).sum::<f64>() / count;
        let (mean_x, mean_y) = (mean(|point| point.0), mean(|point| point.1));
        let sum_of_squares: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let sum_of_products: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let slope = sum_of_products / sum_of_squares;
        let intercept = mean_y - slope * mean_x;
        let squared_residuals: f64 = points
            .iter()
            .map(|(x, y)| (y - intercept - slope * x).powi(2))
            .sum();
        Self {
            intercept,
            slope,
            slope_error: (squared_residuals / (count - 2.0) / sum_of_squares).sqrt(),
        }
    }
}

impl fmt::Display for LinearFit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            intercept,
            slope,
            slope_error,
        } = self;
        write!(f, "{intercept:.2} + ({slope:.4} ± {slope_error:.4})")
    }
}
