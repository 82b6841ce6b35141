//! Straight lines through measured points.

/// `base + slope * x`, by least squares.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LineFit {
    pub(crate) base: f64,
    pub(crate) slope: f64,
}

impl LineFit {
    /// The line of least squares through `points` (x, y).
    pub(crate) fn new(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean = |value: fn(&(f64, f64)) -> f64| points.iter().map(value).sum::<f64>() / count;
        let (mean_x, mean_y) = (mean(|p| p.0), mean(|p| p.1));
        let spread: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        let shared: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
        let slope = shared / spread;
        Self { base: mean_y - slope * mean_x, slope }
    }

    /// Prints the line, with its largest miss of a measured point.
    pub(crate) fn print(&self, what: &str, by: &str, points: &[(f64, f64)]) {
        let miss = |p: &(f64, f64)| (self.base + self.slope * p.0 - p.1).abs() / p.1.abs();
        let worst = points.iter().map(miss).fold(0.0, f64::max);
        println!(
            "fit: {what} = {:.4} + {:.6} x {by} (largest miss of a point {:.0}%)",
            self.base,
            self.slope,
            worst * 100.0
        );
    }
}

/// Fits and prints.
pub(crate) fn print_fit(what: &str, by: &str, points: &[(f64, f64)]) {
    LineFit::new(points).print(what, by, points);
}
