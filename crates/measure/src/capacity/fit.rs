//! How a cost grows with what drives it: a line through the logarithms of both, by least squares. No input or output.

/// Points that lie further from the line than this, as the root of the mean square of natural logarithms, don't grow by
/// one power: 0.25 is a quarter more or less at the usual point.
pub const FITS_WITHIN: f64 = 0.25;
/// Exponents this far from a whole one are told as such: at the four sizes of a run they differ by less than timers do.
const NEAR: f64 = 0.25;
/// Neighbours that differ by as many times what the line's own power gives are a step.
const STEP: f64 = 1.8;

/// What the points look like.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Growth {
    Constant,
    Linear,
    Quadratic,
    /// By some other power.
    Power,
    /// Level for a while, and then at once much more.
    Step,
    /// None of these.
    Unclear,
}

/// A line through the logarithms of cost and driver.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// The power of the driver that the cost grows with.
    pub exponent: f64,
    /// Natural logarithm of the cost at a driver of 1.
    pub log_at_one: f64,
    /// Root of the mean square of what the logarithms are off the line.
    pub residual: f64,
    pub growth: Growth,
}

impl Fit {
    /// The cost at another driver, if it goes on so.
    pub fn at(&self, driver: f64) -> f64 {
        (self.log_at_one + self.exponent * driver.ln()).exp()
    }
}

/// Fits points of driver and cost. None: there are fewer than two drivers, or some figure is not above zero.
pub fn fit(points: &[(f64, f64)]) -> Option<Fit> {
    if points.iter().any(|(x, y)| !(x.is_finite() && y.is_finite() && *x > 0.0 && *y > 0.0)) {
        return None;
    }
    let logs: Vec<(f64, f64)> = points.iter().map(|(x, y)| (x.ln(), y.ln())).collect();
    let many = logs.len() as f64;
    let mean_x = logs.iter().map(|(x, _)| x).sum::<f64>() / many;
    let mean_y = logs.iter().map(|(_, y)| y).sum::<f64>() / many;
    let spread = logs.iter().map(|(x, _)| (x - mean_x).powi(2)).sum::<f64>();
    if spread < 1e-12 || !spread.is_finite() {
        return None;
    }
    let exponent = logs.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum::<f64>() / spread;
    let log_at_one = mean_y - exponent * mean_x;
    let off = |(x, y): &(f64, f64)| (y - log_at_one - exponent * x).powi(2);
    let residual = (logs.iter().map(off).sum::<f64>() / many).sqrt();
    let growth = growth(&logs, exponent, residual);
    Some(Fit { exponent, log_at_one, residual, growth })
}

fn growth(logs: &[(f64, f64)], exponent: f64, residual: f64) -> Growth {
    if residual > FITS_WITHIN {
        return if is_step(logs) { Growth::Step } else { Growth::Unclear };
    }
    match exponent {
        e if e.abs() <= NEAR => Growth::Constant,
        e if (e - 1.0).abs() <= NEAR => Growth::Linear,
        e if (e - 2.0).abs() <= NEAR => Growth::Quadratic,
        _ => Growth::Power,
    }
}

/// One rise between neighbours stands out, and all others are level beside it.
fn is_step(logs: &[(f64, f64)]) -> bool {
    let mut sorted = logs.to_vec();
    sorted.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut rises: Vec<f64> = sorted.windows(2).map(|pair| (pair[1].1 - pair[0].1).abs()).collect();
    rises.sort_by(f64::total_cmp);
    let Some((largest, others)) = rises.split_last() else { return false };
    let next = others.last().copied().unwrap_or(0.0);
    *largest > STEP.ln() && *largest > 3.0 * next
}
