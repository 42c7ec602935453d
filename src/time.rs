//! Points in time and lengths of time, in microseconds, as two types that can't be mixed up.
use std::ops::{Add, Div, Mul, Sub};

/// A point on the router's clock, whose zero is arbitrary.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default, Hash)]
pub struct Moment(u64);

/// A length of time; never negative, since the wire and the rules know none that is.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default, Hash)]
pub struct Span(u64);

impl Moment {
    pub const fn at_micros(us: u64) -> Self {
        Moment(us)
    }
    pub const fn micros(self) -> u64 {
        self.0
    }
    /// How long ago `earlier` was; nothing if it lies ahead.
    pub fn since(self, earlier: Moment) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
    pub fn before(self, by: Span) -> Moment {
        Moment(self.0.saturating_sub(by.0))
    }
}

impl Span {
    pub const ZERO: Span = Span(0);
    pub const MAX: Span = Span(u64::MAX);
    pub const fn micros(us: u64) -> Self {
        Span(us)
    }
    pub const fn millis(ms: u64) -> Self {
        Span(ms * 1_000)
    }
    pub const fn as_micros(self) -> u64 {
        self.0
    }
    pub fn seconds(self) -> f64 {
        self.0 as f64 / 1e6
    }
    pub fn from_seconds(s: f64) -> Self {
        Span((s.max(0.0) * 1e6) as u64)
    }
    pub fn less(self, other: Span) -> Span {
        Span(self.0.saturating_sub(other.0))
    }
}

impl Add<Span> for Moment {
    type Output = Moment;
    fn add(self, by: Span) -> Moment {
        Moment(self.0.saturating_add(by.0))
    }
}

impl From<Span> for std::time::Duration {
    fn from(span: Span) -> Self {
        Self::from_micros(span.0)
    }
}

impl Add for Span {
    type Output = Span;
    fn add(self, by: Span) -> Span {
        Span(self.0.saturating_add(by.0))
    }
}

impl Sub for Moment {
    type Output = Span;
    fn sub(self, earlier: Moment) -> Span {
        self.since(earlier)
    }
}

impl Mul<f64> for Span {
    type Output = Span;
    fn mul(self, by: f64) -> Span {
        Span((self.0 as f64 * by).max(0.0) as u64)
    }
}

impl Div for Span {
    type Output = f64;
    fn div(self, by: Span) -> f64 {
        self.0 as f64 / by.0.max(1) as f64
    }
}
