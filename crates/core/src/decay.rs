//! Exponential decay of what was observed some time ago.

use crate::prelude::*;

/// Factor by which a value of this age has decayed.
pub(crate) fn decay(age: Duration, half_life: Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}
