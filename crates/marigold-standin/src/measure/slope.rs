//! Least-squares regression.

/// Returns the slope of the least-squares line through `points`; 0 for fewer than two points.
#[must_use]
pub fn slope(points: &[(f64, f64)]) -> f64 {
    let count = points.iter().map(|_| 1.0).sum::<f64>();
    let mean = |value: fn(&(f64, f64)) -> f64| points.iter().map(value).sum::<f64>() / count;
    let (mean_x, mean_y) = (mean(|point| point.0), mean(|point| point.1));
    let sum_of_squares: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
    if points.len() < 2 || sum_of_squares == 0.0 {
        return 0.0;
    }
    let sum_of_products: f64 = points
        .iter()
        .map(|point| (point.0 - mean_x) * (point.1 - mean_y))
        .sum();
    sum_of_products / sum_of_squares
}
