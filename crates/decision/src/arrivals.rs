//! Registration of requests on arrival: relative size, age, tenant quota and position in the queue of the key.

use crate::balancer::Balancer;
use crate::interface::RequestDetails;
use crate::state::Request;
use crate::types::{ClassId, Milliseconds};

/// Weight of a new work estimate in the mean of its class.
const WORK_ESTIMATE_WEIGHT: f64 = 0.03;
/// Lower bound of a request's size relative to the mean of its class: estimates from clients may be far off.
const MIN_RELATIVE_SIZE: f64 = 0.1;
/// Upper bound of a request's size relative to the mean of its class.
const MAX_RELATIVE_SIZE: f64 = 10.0;
/// Factor by which the typical time left of a class falls with each request that has less time left.
const TIME_LEFT_DECAY: f64 = 0.99;

impl Balancer {
    /// Registers a request. A request of an unknown class, or with an identifier in use, is ignored.
    pub(crate) fn learn_request(&mut self, details: &RequestDetails) {
        if details.class.0 >= self.classes.len() || self.requests.contains_key(&details.id) {
            return;
        }
        let relative_size = self.learn_work_estimate(details);
        if !details.is_retry {
            // Retries are not counted, otherwise a retry storm would make its group appear to receive too little
            // service.
            self.classes[details.class.0].arrivals += 1.0;
        }
        let over_quota = self.deduct_from_quota(details.tenant);
        self.enqueue_for_key(details);
        // Requests that arrived during a pause may have been waiting since the start of the pause.
        let counted_at = self.now - self.paused_for;
        self.retry_budget.record_request(counted_at);
        self.add_health_check_credit();
        let age = self.learn_time_left(details.class, details.deadline);
        let mut request = Request::new(details.clone(), self.now, relative_size, over_quota);
        request.received_at -= age;
        request.counted_at = counted_at;
        request.share_draw = self.rng.f64();
        self.requests.insert(details.id, request);
    }

    /// Updates the mean work of the class, and returns the size of the request relative to it.
    fn learn_work_estimate(&mut self, details: &RequestDetails) -> f64 {
        let state = &mut self.classes[details.class.0];
        let Some(work) = details.work.filter(|work| work.is_finite() && *work > 0.0) else { return 1.0 };
        state.mean_work = if state.mean_work > 0.0 {
            state.mean_work + WORK_ESTIMATE_WEIGHT * (work - state.mean_work)
        } else {
            work
        };
        (work / state.mean_work).clamp(MIN_RELATIVE_SIZE, MAX_RELATIVE_SIZE)
    }

    /// Updates the time that clients of the class typically allow, and returns the age of the request. Only a request
    /// that arrived during a pause has an age: the amount by which its time left is shorter than typical, limited to
    /// the length of the pause.
    fn learn_time_left(&mut self, class: ClassId, deadline: Milliseconds) -> Milliseconds {
        let was_paused = self.was_paused();
        let state = &mut self.classes[class.0];
        let time_left = deadline - self.now;
        let age = (state.typical_time_left - time_left).clamp(0.0, self.paused_for);
        if !was_paused {
            state.typical_time_left = time_left.max(TIME_LEFT_DECAY * state.typical_time_left);
        }
        age
    }
}
