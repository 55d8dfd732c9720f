//! A straight line through some points.

/// Returns the slope of the least-squares line through `points`; zero for fewer than two.
#[must_use]
pub fn slope(points: &[(f64, f64)]) -> f64 {
    let count = points.iter().map(|_| 1.0).sum::<f64>();
    let mean = |value: fn(&(f64, f64)) -> f64| points.iter().map(value).sum::<f64>() / count;
    let (x, y) = (mean(|point| point.0), mean(|point| point.1));
    let spread: f64 = points.iter().map(|point| (point.0 - x).powi(2)).sum();
    if points.len() < 2 || spread == 0.0 {
        return 0.0;
    }
    let joint: f64 = points
        .iter()
        .map(|point| (point.0 - x) * (point.1 - y))
        .sum();
    joint / spread
}
