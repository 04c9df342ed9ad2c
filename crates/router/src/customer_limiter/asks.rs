//! Asks the owner of a customer's rate limit, or its deputy, for tokens.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use eelgrasspier_decide::customer_limits::{TokenAnswer, TokenRequest, UNAVAILABLE_RETRY_MS};
use eelgrasspier_decide::fleet_limit::Standing;
use eelgrasspier_peer::wire::{Body, LimitAnswer, LimitOutcome, LimitRequest};

use super::{LimitCause, LimitRefusal, LimitedCustomer, TokenOutcome, TokenSource};
use crate::model::Request;
use crate::router::{PEER_SLOTS, Router, UNHEALTHY_PEER_COST, peer_key};
use crate::view::{Peer, View};

/// Timeout for the answer of the owner or the deputy: several round trips within a region.
const LIMIT_TIMEOUT: Duration = Duration::from_millis(40);

/// Instance that may grant tokens of a customer.
#[derive(Debug, Clone)]
pub(super) enum AskTarget {
    /// This instance.
    Own { standing: Standing },
    /// Another instance.
    Peer(Peer),
}

impl AskTarget {
    fn name(&self) -> &str {
        match self {
            Self::Own { .. } => "own",
            Self::Peer(peer) => &peer.name,
        }
    }

    fn source(&self) -> TokenSource {
        match self {
            Self::Own { .. } => TokenSource::Owner,
            Self::Peer(_) => TokenSource::Asked,
        }
    }
}

/// Answer that decides a request for tokens.
struct Decision {
    target: AskTarget,
    /// Position in the ranking of the customer.
    rank: usize,
    /// `None` if the customer is beyond its limit.
    advance: Option<u32>,
    retry_after_ms: u64,
}

/// Instances that were asked without success.
#[derive(Default)]
struct Failures {
    asked: Vec<String>,
    causes: Vec<String>,
    retry_after_ms: u64,
}

impl Router {
    /// Asks for a token of the request's customer and logs a refusal.
    pub(super) async fn ask_for_token(
        self: &Rc<Self>,
        view: &View,
        request: &Request,
        customer: &LimitedCustomer,
        wants_advance: bool,
    ) -> TokenOutcome {
        let needed = TokenRequest { needed: 1, wants_advance, ..TokenRequest::default() };
        let id = request.id.as_bytes();
        let (id_text, name) = (request.id_text(), &customer.name);
        let limiter = &self.customer_limiter;
        let (cause, retry_after_ms) = match self.ask(view, customer, needed, id).await {
            Ok(Decision { target, advance: Some(advance), .. }) => {
                let token = self.token(name, target.source());
                self.hold_tokens(name, advance);
                return TokenOutcome::Taken(token);
            }
            Ok(Decision { target, rank, retry_after_ms, .. }) => {
                if let Some(skipped) = limiter.refused_lines.try_take(self.shared.now_ms()) {
                    let role = if rank == 0 { "owner" } else { "deputy" };
                    log::info!(
                        "event=limit_refused id={id_text} customer={name} owner={} role={role} \
                         retry_after_ms={retry_after_ms} skipped={skipped}",
                        target.name()
                    );
                }
                (LimitCause::Limited, retry_after_ms)
            }
            Err(Failures { asked, causes, retry_after_ms }) => {
                if let Some(skipped) = limiter.unavailable_lines.try_take(self.shared.now_ms()) {
                    log::warn!(
                        "event=limit_unavailable id={id_text} customer={name} asked=[{}] \
                         cause=\"{}\" retry_after_ms={retry_after_ms} skipped={skipped}",
                        asked.join(","),
                        causes.join("; ")
                    );
                }
                (LimitCause::Unavailable, retry_after_ms)
            }
        };
        let customer = Arc::clone(name);
        TokenOutcome::Refused(LimitRefusal { customer, cause, retry_after_ms })
    }

    /// Asks in the background, for a request that was already sent or to return tokens.
    pub(super) fn spawn_ask(
        self: &Rc<Self>,
        view: &Arc<View>,
        customer: &LimitedCustomer,
        request: TokenRequest,
    ) {
        let (router, view, customer) = (Rc::clone(self), Arc::clone(view), customer.clone());
        actix_rt::spawn(async move {
            router.ask_in_background(&view, &customer, request).await;
        });
    }

    /// Asks for or returns tokens, and keeps those that are granted in advance.
    ///
    /// Without an answer, the tokens are lost for the customer until its bucket has refilled.
    pub(super) async fn ask_in_background(
        &self,
        view: &View,
        customer: &LimitedCustomer,
        request: TokenRequest,
    ) {
        if let Ok(Decision { advance, .. }) = self.ask(view, customer, request, &[]).await {
            self.hold_tokens(&customer.name, advance.unwrap_or(0));
        }
    }

    /// Asks the owner, and the deputy if the owner does not answer or may not grant.
    ///
    /// The deputy is asked first while the owner seems unhealthy.
    async fn ask(
        &self,
        view: &View,
        customer: &LimitedCustomer,
        request: TokenRequest,
        request_id: &[u8],
    ) -> Result<Decision, Failures> {
        let mut failures = Failures::default();
        for (rank, target) in self.ordered_targets(view, customer, request) {
            let answer = match &target {
                AskTarget::Own { standing } => {
                    // Tokens in advance only save messages.
                    let request = TokenRequest { wants_advance: false, ..request };
                    Ok(self.answer_from_ledger(&customer.name, customer.limit, *standing, request))
                }
                AskTarget::Peer(peer) => {
                    self.send_limit_request(peer, &customer.name, request, request_id).await
                }
            };
            let cause = match answer {
                Ok(TokenAnswer::Granted { advance }) => {
                    let advance = Some(advance);
                    return Ok(Decision { target, rank, advance, retry_after_ms: 0 });
                }
                Ok(TokenAnswer::Limited { retry_after_ms }) => {
                    return Ok(Decision { target, rank, advance: None, retry_after_ms });
                }
                Ok(TokenAnswer::Unavailable { retry_after_ms }) => {
                    failures.retry_after_ms = failures.retry_after_ms.max(retry_after_ms);
                    "may not grant".to_owned()
                }
                Err(cause) => cause,
            };
            failures.causes.push(format!("{}: {cause}", target.name()));
            failures.asked.push(target.name().to_owned());
        }
        failures.retry_after_ms = failures.retry_after_ms.max(UNAVAILABLE_RETRY_MS);
        Err(failures)
    }

    /// Returns the instances to ask with their positions in the ranking, in the order to ask them.
    fn ordered_targets(
        &self,
        view: &View,
        customer: &LimitedCustomer,
        request: TokenRequest,
    ) -> Vec<(usize, AskTarget)> {
        let mut targets: Vec<(usize, AskTarget)> =
            self.limit_targets(view, &customer.name).into_iter().enumerate().collect();
        if request.returned > 0 {
            // An owner whose answer is late may have credited them already.
            targets.truncate(1);
        } else if let [(_, AskTarget::Peer(owner)), _] = &targets[..]
            && self.is_unhealthy(owner)
        {
            count_ask("unhealthy");
            targets.reverse();
        }
        targets
    }

    async fn send_limit_request(
        &self,
        peer: &Peer,
        customer: &str,
        request: TokenRequest,
        request_id: &[u8],
    ) -> Result<TokenAnswer, String> {
        let TokenRequest { needed, returned, is_forced, wants_advance } = request;
        let peer_request = Body::Limit(LimitRequest {
            customer: customer.to_owned(),
            needed,
            returned,
            is_forced,
            wants_advance,
            request_id: request_id.to_vec().into(),
        });
        let answer = self.peer_connections.request(peer.addr, peer_request, LIMIT_TIMEOUT).await;
        if answer.is_ok() {
            self.stats(&peer_key(&peer.name)).borrow_mut().record_response();
        }
        let result = match answer {
            Ok(Body::LimitAnswer(answer)) => Ok(from_wire(answer)),
            // An older version does not know the message; the instance itself is healthy.
            Ok(_) => Err("refused the message".to_owned()),
            Err(error) => {
                self.record_unresponsive(peer);
                Err(error.to_string())
            }
        };
        count_ask(match &result {
            Ok(TokenAnswer::Granted { .. }) => "granted",
            Ok(TokenAnswer::Limited { .. }) => "limited",
            Ok(TokenAnswer::Unavailable { .. }) => "unavailable",
            Err(_) => "failed",
        });
        result
    }

    /// True if an instance recently failed to answer.
    ///
    /// A long queue alone is no reason to use the deputy's small reserve.
    fn is_unhealthy(&self, peer: &Peer) -> bool {
        let stats = self.stats(&peer_key(&peer.name));
        let stats = stats.borrow();
        stats.consecutive_failures() > 0
            && stats.cost(PEER_SLOTS, self.shared.now_ms()) >= UNHEALTHY_PEER_COST
    }
}

fn count_ask(outcome: &'static str) {
    metrics::counter!("eelgrasspier_limit_asks_total", "outcome" => outcome).increment(1);
}

fn from_wire(answer: LimitAnswer) -> TokenAnswer {
    let LimitAnswer { retry_after_ms, advance, .. } = answer;
    match answer.outcome() {
        LimitOutcome::Granted => TokenAnswer::Granted { advance },
        LimitOutcome::Limited => TokenAnswer::Limited { retry_after_ms },
        LimitOutcome::Unavailable => TokenAnswer::Unavailable { retry_after_ms },
    }
}
