//! Service time of an upstream, and its speed relative to its pool.
//!
//! The estimate is a mean that starts from a prior (empirical Bayes shrinkage, Efron and Morris, 1973): the value
//! remembered from before a restart, or else the pool's mean. The prior counts as a few samples and fades out. Outliers
//! are limited to a multiple of the estimate (winsorizing), and a short mean that departs from the long one restarts it,
//! so that a sudden change shows within a few samples.
//!
//! A difference from the pool's mean counts only as far as it exceeds the statistical error of the estimate. Equal
//! upstreams thus have the same speed, with any number of samples.

use super::PoolId;

/// Relative speed of a cold upstream until its service times are known: cold upstreams work about 1.6 times as long.
pub(super) const COLD_SPEED: f64 = 0.6;
/// Samples that the mean covers: ten seconds of an upstream with 40 requests per second.
const MAX_SAMPLES: u32 = 400;
/// Samples that the short mean covers.
const RECENT_SAMPLES: u32 = 20;
/// Ratio of the short mean to the long one, or the reverse, that restarts the long one.
const CHANGE_RATIO: f64 = 1.5;
/// Standard errors of the short mean by which the two must differ, in addition; fewer restart the mean by chance if
/// service times vary as much as their mean.
const CHANGE_ERRORS: f64 = 4.0;
/// Most that a sample counts, as a multiple of the estimate: a tail of 3% at seven times adds 6% instead of 18%.
const MAX_SAMPLE_RATIO: f64 = 3.0;
/// Number of samples that the prior counts as at first.
const PRIOR_SAMPLES: f64 = 5.0;
/// Number of samples at which the prior has no effect any more, and the service time is reported to balancers.
const MIN_SAMPLES: u32 = 20;
/// Assumed squared coefficient of variation of service times, that of an exponential distribution. It counts as
/// [`PRIOR_SAMPLES`].
const PRIOR_VARIATION: f64 = 1.0;
/// Difference from the pool's mean that counts as equal even if the estimate is exact: routes need different work, and
/// their mix varies between upstreams.
const NOISE_BAND: f64 = 0.04;
/// Standard errors of the estimate that count as equal, in addition.
const ERROR_MARGIN: f64 = 2.0;
/// Error of a service time in whole milliseconds, as in reports. Means below it count as this much, as samples of less
/// than a millisecond are recorded as 0.
const RESOLUTION_MS: f64 = 0.5;
/// Weight of the newest answer in the moving average of answer lengths.
const ANSWER_BYTES_WEIGHT: f64 = 0.02;
/// Share of the pool's mean answer length up to which an upstream does not count as fast.
const SHORT_ANSWER_SHARE: f64 = 0.7;
/// Share of the pool's mean answer length from which an upstream counts as fast without reduction.
const FULL_ANSWER_SHARE: f64 = 0.9;

/// Service time and answer length that an agent measured at its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MeasuredService {
    /// Pool of the upstream.
    pub pool: PoolId,
    /// Mean service time in milliseconds.
    pub service_ms: u32,
    /// Mean length of the first answer packet in bytes, if known.
    pub answer_bytes: Option<u32>,
}

/// Whether answers of this length are too short, compared with the pool's, for their service time to be trusted.
pub(super) fn is_short_answer(answer_bytes: u32, pool_bytes: u32) -> bool {
    f64::from(answer_bytes) < f64::from(pool_bytes) * SHORT_ANSWER_SHARE
}

/// Speed of an upstream with the service time `own_ms` relative to a pool with the mean `pool_ms`. `error` is the
/// relative standard error of `own_ms`.
///
/// The speed is 1.0 in a band around the pool's mean, leaves it continuously and equals the ratio of the two from twice
/// the band on.
pub fn relative_speed(own_ms: f64, pool_ms: f64, error: f64) -> f64 {
    let deviation = (pool_ms / own_ms.max(RESOLUTION_MS)).ln();
    let band = NOISE_BAND + ERROR_MARGIN * error + RESOLUTION_MS / pool_ms.max(RESOLUTION_MS);
    let size = deviation.abs();
    let outside = (2.0 * (size - band)).clamp(0.0, size);
    outside.copysign(deviation).exp()
}

/// Mean of the last samples, with their variance.
#[derive(Clone, Copy, Debug, Default)]
struct SampleMean {
    count: u32,
    mean_ms: f64,
    /// Sum of the squared weights of the samples in the mean; its variance is that of a sample times this.
    weight_squares: f64,
    variance: f64,
    recent_ms: f64,
}

impl SampleMean {
    fn record(&mut self, sample_ms: f64) {
        self.count = (self.count + 1).min(MAX_SAMPLES);
        let weight = 1.0 / f64::from(self.count);
        let deviation = sample_ms - self.mean_ms;
        self.mean_ms += deviation * weight;
        self.weight_squares *= (1.0 - weight) * (1.0 - weight);
        self.weight_squares += weight * weight;
        self.variance = (1.0 - weight) * (self.variance + weight * deviation * deviation);
        let recent_weight = weight.max(1.0 / f64::from(RECENT_SAMPLES));
        self.recent_ms += (sample_ms - self.recent_ms) * recent_weight;
        self.restart_after_change();
    }

    fn restart_after_change(&mut self) {
        let ratio = self.recent_ms.max(RESOLUTION_MS) / self.mean_ms.max(RESOLUTION_MS);
        // Of a moving average with weight 1/n.
        let weight_squares = 1.0 / f64::from(2 * RECENT_SAMPLES - 1);
        let error = (self.variation() * weight_squares).sqrt();
        let threshold = CHANGE_RATIO.ln().max(CHANGE_ERRORS * error);
        if self.count <= RECENT_SAMPLES || ratio.ln().abs() <= threshold {
            return;
        }
        self.count = RECENT_SAMPLES;
        self.mean_ms = self.recent_ms;
        self.weight_squares = weight_squares;
        self.variance *= ratio * ratio;
    }

    /// Squared coefficient of variation of the samples.
    fn variation(&self) -> f64 {
        let count = f64::from(self.count);
        let mean_ms = self.mean_ms.max(RESOLUTION_MS);
        let measured = self.variance / (mean_ms * mean_ms);
        (PRIOR_SAMPLES * PRIOR_VARIATION + count * measured) / (PRIOR_SAMPLES + count)
    }
}

/// Value that the estimate starts from.
struct Prior {
    ms: f64,
    /// Number of samples it was measured with; none for the pool's mean, which an average upstream has by definition.
    samples: Option<u32>,
}

/// An estimated service time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Mean service time in milliseconds.
    pub ms: f64,
    /// Its relative standard error.
    pub error: f64,
}

/// Estimates the service time of an upstream.
#[derive(Clone, Debug, Default)]
pub struct ServiceRate {
    /// Samples of the upstream while it is cold are kept apart, so that they do not remain in its estimate.
    cold: bool,
    cold_samples: SampleMean,
    warm_samples: SampleMean,
    answers: u32,
    answer_bytes: f64,
    /// Value from before a restart of the upstream or the agent.
    remembered: Option<MeasuredService>,
    pool_ms: Option<u32>,
    pool_bytes: Option<u32>,
}

impl ServiceRate {
    /// Sets the mean service time and answer length of the pool. The last known service time stays if there is none.
    pub fn set_pool(&mut self, service_ms: Option<u32>, answer_bytes: Option<u32>) {
        self.pool_ms = service_ms.or(self.pool_ms);
        self.pool_bytes = answer_bytes.or(self.pool_bytes);
    }

    /// Sets whether the upstream is cold.
    pub fn set_cold(&mut self, cold: bool) {
        if cold && !self.cold {
            self.cold_samples = SampleMean::default();
        }
        self.cold = cold;
    }

    /// Records a service time of a request that began while the upstream was `cold` or not.
    pub fn record(&mut self, sample_ms: u64, cold: bool) {
        let mut sample_ms = sample_ms as f64;
        if let Some(estimate) = self.estimate_of(cold) {
            sample_ms = sample_ms.min(estimate.ms.max(RESOLUTION_MS) * MAX_SAMPLE_RATIO);
        }
        let samples = if cold { &mut self.cold_samples } else { &mut self.warm_samples };
        samples.record(sample_ms);
    }

    /// Records the length of the first packet of an answer.
    pub fn record_answer_bytes(&mut self, bytes: u32) {
        self.answers = self.answers.saturating_add(1);
        let weight = ANSWER_BYTES_WEIGHT.max(1.0 / f64::from(self.answers));
        self.answer_bytes += (f64::from(bytes) - self.answer_bytes) * weight;
    }

    /// Uses a value from before the agent's restart as the prior. Returns whether it did: only the first such value
    /// is used, and none once there are enough samples.
    pub fn remember(&mut self, service: MeasuredService) -> bool {
        let useful = self.remembered.is_none()
            && self.warm_samples.count < MIN_SAMPLES
            && service.service_ms > 0;
        if useful {
            self.remembered = Some(service);
        }
        useful
    }

    /// Starts anew for another upstream process in `pool` on the same VM, with the values so far as the prior.
    pub fn restart(&mut self, pool: PoolId) {
        let measured = (self.warm_samples.count >= MIN_SAMPLES).then(|| MeasuredService {
            pool,
            service_ms: whole_ms(self.warm_samples.mean_ms),
            answer_bytes: self.reported_answer_bytes(),
        });
        *self = ServiceRate {
            cold: self.cold,
            remembered: measured.or(self.remembered),
            pool_ms: self.pool_ms,
            pool_bytes: self.pool_bytes,
            ..ServiceRate::default()
        };
    }

    /// Estimated service time; none without samples and prior.
    pub fn estimate(&self) -> Option<Estimate> {
        self.estimate_of(self.cold)
    }

    /// Service time of the warm upstream for reports, once it depends on samples alone. Balancers remember it, and cold
    /// upstreams are compared with the pool's mean of it.
    pub fn reported_ms(&self) -> Option<u32> {
        let samples = &self.warm_samples;
        (samples.count >= MIN_SAMPLES).then(|| whole_ms(samples.mean_ms))
    }

    /// Answer length for reports, once there are enough answers.
    pub fn reported_answer_bytes(&self) -> Option<u32> {
        (self.answers >= MIN_SAMPLES).then(|| (self.answer_bytes.round() as u32).max(1))
    }

    /// Speed relative to the pool; none if the pool's mean is not known, or neither samples nor a remembered value are.
    /// A speed above 1.0 requires answers as long as the pool's, and `may_be_fast`.
    pub fn speed(&self, may_be_fast: bool) -> Option<f64> {
        if self.samples(self.cold).count == 0 && self.remembered.is_none() {
            return None;
        }
        let (own, pool_ms) = self.estimate().zip(self.pool_ms)?;
        // A cold upstream is compared with a normal cold one: few samples, with a wide error, then leave its usual speed.
        let usual_speed = if self.cold { COLD_SPEED } else { 1.0 };
        let expected_ms = f64::from(pool_ms) / usual_speed;
        let speed = usual_speed * relative_speed(own.ms, expected_ms, own.error);
        if speed <= 1.0 {
            return Some(speed);
        }
        let trust = if may_be_fast { self.answer_trust() } else { 0.0 };
        Some(1.0 + (speed - 1.0) * trust)
    }

    fn samples(&self, cold: bool) -> &SampleMean {
        if cold { &self.cold_samples } else { &self.warm_samples }
    }

    fn prior(&self, cold: bool) -> Option<Prior> {
        let prior = match self.remembered {
            Some(it) => Prior { ms: f64::from(it.service_ms), samples: Some(MAX_SAMPLES) },
            None => Prior { ms: f64::from(self.pool_ms?), samples: None },
        };
        Some(if cold { Prior { ms: prior.ms / COLD_SPEED, ..prior } } else { prior })
    }

    fn estimate_of(&self, cold: bool) -> Option<Estimate> {
        let samples = self.samples(cold);
        let count = f64::from(samples.count);
        let weight = prior_weight(samples.count);
        let prior = self.prior(cold).filter(|_| weight > 0.0);
        let Some(prior) = prior else {
            let error = (samples.variation() * samples.weight_squares).sqrt() * few_factor(count);
            return (samples.count > 0).then_some(Estimate { ms: samples.mean_ms, error });
        };
        let ms = (prior.ms * weight + samples.mean_ms * count) / (weight + count);
        let prior_squares = prior.samples.map_or(0.0, |it| weight * weight / f64::from(it));
        // The prior has no weight long before the samples' weights differ from each other.
        let error = (samples.variation() * (prior_squares + count)).sqrt() / (weight + count);
        let prior_count = prior.samples.map_or(0.0, |it| f64::from(it) * weight / PRIOR_SAMPLES);
        let error = error * few_factor(prior_count + count);
        Some(Estimate { ms, error })
    }

    /// How far a high speed is trusted, from 0.0 to 1.0, by the length of the answers.
    fn answer_trust(&self) -> f64 {
        let weight = prior_weight(self.answers);
        let prior = self.remembered.and_then(|it| it.answer_bytes).filter(|_| weight > 0.0);
        let answers = f64::from(self.answers);
        let own = match prior {
            Some(prior) => {
                (f64::from(prior) * weight + self.answer_bytes * answers) / (weight + answers)
            }
            None => self.answer_bytes,
        };
        let Some(pool) = self.pool_bytes.filter(|&it| it > 0) else {
            return 0.0;
        };
        let share = own / f64::from(pool);
        let range = FULL_ANSWER_SHARE - SHORT_ANSWER_SHARE;
        ((share - SHORT_ANSWER_SHARE) / range).clamp(0.0, 1.0)
    }
}

/// Number of samples that the prior counts as beside `count` samples.
fn prior_weight(count: u32) -> f64 {
    PRIOR_SAMPLES * (1.0 - f64::from(count.min(MIN_SAMPLES)) / f64::from(MIN_SAMPLES))
}

/// Factor for the error of a mean of this many samples. Few samples show their variance as badly as their mean
/// (compare Student's t), above all if a few are long.
fn few_factor(count: f64) -> f64 {
    1.0 + PRIOR_SAMPLES / (PRIOR_SAMPLES + count)
}

fn whole_ms(ms: f64) -> u32 {
    (ms.round() as u32).max(1)
}
