//! Points in time and lengths of time, in microseconds, as two types that can't be mixed up.
use std::ops::{Add, Div, Mul, Sub};

/// A point on the router's clock, whose zero is arbitrary.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default, Hash)]
pub struct Moment(u64);

/// A length of time; never negative, since neither the wire nor the rules of the service have negative ones.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default, Hash)]
pub struct Span(u64);

impl Moment {
    /// The point so many microseconds after the zero of the clock.
    pub const fn at_micros(us: u64) -> Self {
        Moment(us)
    }
    /// Microseconds since the zero of the clock.
    pub const fn micros(self) -> u64 {
        self.0
    }
    /// The time since `earlier`; zero if that lies in the future.
    pub fn since(self, earlier: Moment) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
    /// The point so long before this one, but not before the zero of the clock.
    pub fn before(self, by: Span) -> Moment {
        Moment(self.0.saturating_sub(by.0))
    }
}

impl Span {
    /// No time at all.
    pub const ZERO: Span = Span(0);
    /// The longest span.
    pub const MAX: Span = Span(u64::MAX);
    /// A span of so many microseconds.
    pub const fn micros(us: u64) -> Self {
        Span(us)
    }
    /// A span of so many milliseconds.
    pub const fn millis(ms: u64) -> Self {
        Span(ms * 1_000)
    }
    /// The span in microseconds.
    pub const fn as_micros(self) -> u64 {
        self.0
    }
    /// The span in seconds.
    pub fn seconds(self) -> f64 {
        self.0 as f64 / 1e6
    }
    /// A span of so many seconds; zero for negative ones.
    pub fn from_seconds(s: f64) -> Self {
        Span((s.max(0.0) * 1e6) as u64)
    }
    /// This span without `other`; zero if `other` is longer.
    pub fn saturating_sub(self, other: Span) -> Span {
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
