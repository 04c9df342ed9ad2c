//! Admission control: whether a request is started and which of its shards are left out.

use eelgrasspier_decide::admission::{Plan, PriorityPlan, Protected, plan_with_priority};

use super::Gather;
use super::shard::{Shard, ShardState};

impl Gather<'_> {
    /// Leaves out shards that would be late; returns false if the request is refused.
    pub(super) fn admit(&mut self) -> bool {
        let max_omitted = self.shards.len() - self.required_shards;
        let Some(retry_after_ms) = self.plan(max_omitted, max_omitted, true) else { return true };
        self.gathered.refused_ms = Some(retry_after_ms);
        false
    }

    /// Leaves out late shards of a relay request; returns false if nothing is sent.
    ///
    /// The requesting instance plans with load reports from earlier answers, which are older than
    /// the data here.
    pub(super) fn admit_for_peer(
        &mut self,
        max_omitted: usize,
        may_leave_out: usize,
        has_all_shards: bool,
    ) -> bool {
        self.gathered.refused_ms = self.plan(max_omitted, may_leave_out, has_all_shards);
        let is_started = self.gathered.refused_ms.is_none();
        if !is_started {
            self.gathered.left_out = self.services(|_| true);
        }
        is_started
    }

    /// Leaves out late shards; returns the retry delay if there are more than may be left out.
    fn plan(
        &mut self,
        max_omitted: usize,
        may_leave_out: usize,
        has_all_shards: bool,
    ) -> Option<u64> {
        let now_ms = self.router.shared.now_ms();
        let left_ms = self.deadlines.target_at_ms.saturating_sub(now_ms);
        let left_ms = f64::from(u32::try_from(left_ms).unwrap_or(u32::MAX));
        let plan =
            self.plan_and_record((max_omitted, may_leave_out), has_all_shards, left_ms, now_ms);
        let (id, route) = (self.request.id_text(), &self.route.name);
        match plan {
            PriorityPlan::Usual(Plan::Send { left_out }) => {
                for &index in &left_out {
                    self.shards[index].state = ShardState::LeftOut;
                }
                let count = u64::try_from(left_out.len()).unwrap_or(u64::MAX);
                metrics::counter!("eelgrasspier_left_out_total").increment(count);
                None
            }
            PriorityPlan::Usual(Plan::Refuse { late_count, retry_after_ms }) => {
                log::info!(
                    "event=overloaded id={id} route={route} late={late_count} may_miss={max_omitted} \
                     left_ms={left_ms} retry_after_ms={retry_after_ms}"
                );
                Some(retry_after_ms)
            }
            PriorityPlan::MakesRoom { protected, late_count, retry_after_ms } => {
                self.gathered.is_low_priority = protected.priority < self.route.priority;
                if let Some(skipped) = self.router.priority_lines.try_take(now_ms) {
                    let fields = priority_fields(self.route.priority, &protected);
                    log::info!(
                        "event=priority_refused id={id} route={route} {fields} late={late_count} \
                         may_miss={max_omitted} whole={has_all_shards} outcome=refused \
                         retry_after_ms={retry_after_ms} skipped={skipped}"
                    );
                }
                Some(retry_after_ms)
            }
        }
    }

    /// Plans the request, or the part of it that another instance requests.
    ///
    /// The result is recorded for its priority if it has all shards.
    fn plan_and_record(
        &mut self,
        (max_omitted, may_leave_out): (usize, usize),
        has_all_shards: bool,
        left_ms: f64,
        now_ms: u64,
    ) -> PriorityPlan {
        let answer_ms: Vec<f64> =
            (0..self.shards.len()).map(|i| self.answer_ms(i, left_ms)).collect();
        let limit = self.queue_limit(left_ms, has_all_shards, now_ms);
        let plan = plan_with_priority(
            &answer_ms,
            (max_omitted, may_leave_out),
            &self.candidate(left_ms),
            &limit,
            rand::random(),
        );
        if has_all_shards {
            let is_admitted = matches!(plan, PriorityPlan::Usual(Plan::Send { .. }));
            self.record_plan(left_ms, is_admitted, now_ms);
        }
        plan
    }

    /// Returns the number of shards that may still be missed.
    pub(super) fn max_omitted(&self) -> usize {
        let is_lost = |s: &&Shard| matches!(s.state, ShardState::Failed | ShardState::LeftOut);
        let lost = self.shards.iter().filter(is_lost).count();
        (self.shards.len() - lost).saturating_sub(self.required_shards)
    }

    /// Returns the expected time until a shard's best replica answers, in milliseconds.
    ///
    /// Recent failures and missing answers count only if they put the replica past the limit: a
    /// shard that is sent despite a small penalty usually answers, while one that is left out never
    /// does.
    fn answer_ms(&self, index: usize, left_ms: f64) -> f64 {
        let Shard { service, slack_share, .. } = &self.shards[index];
        let budget_used = self.router.retry_budget_used(service, *slack_share);
        let expected =
            self.replicas(service).map(|r| self.router.estimate(r, &self.timing, budget_used));
        let best = expected.min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms));
        best.map_or(0.0, |best| if best.cost_ms > left_ms { best.cost_ms } else { best.answer_ms })
    }
}

/// Returns the log fields for the priority that a refused request makes room for.
fn priority_fields(priority: u32, protected: &Protected) -> String {
    let Protected { priority: for_priority, headroom_ms, refused, late, .. } = protected;
    format!(
        "priority={priority} for_priority={for_priority} headroom_ms={headroom_ms:.1} \
         its_refused={refused} its_late={late}"
    )
}
