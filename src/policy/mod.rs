//! Decision logic of a request router, without I/O and without a clock. The types of its interface are in
//! [`crate::api`]; `docs/design.md` cites the design that it follows and describes when each departure from it applies.
//!
//! [`Router`] (module `router`) holds the state and dispatches each event to the module that handles it:
//!
//! | module | responsibility |
//! | --- | --- |
//! | `endpoint_list` | changes of the endpoint list, cordons, health state handed over between processes |
//! | `requests` | arrival and end of requests |
//! | `admission` | whether a request is sent, waits for capacity, or is rejected or failed |
//! | `planning` | route of the next attempt |
//! | `cache_choice`, `source_choice` | cache and source of a fill, in rendezvous order |
//! | `fills` | what a fill waits for, and fill instructions |
//! | `purges` | maximum age of a copy that may be served |
//! | `dispatch` | sending an attempt and acquiring its capacity |
//! | `outcomes` | updates of health and limits after an attempt, next step of the request |
//! | `retries` | retries and hedged requests |
//! | `failure_detection`, `health` | which endpoint is charged with a failure; UP, DOWN and SUSPECT |
//! | `load_feedback`, `concurrency_limit` | how many requests may be in flight |
//! | `slow_start` | load of endpoints that started recently |
//!
//! The other modules are data structures. Decision modules extend [`Router`]; module imports form no cycles.
mod admission;
mod cache_choice;
mod concurrency_limit;
mod connection_set;
mod dispatch;
mod endpoint;
mod endpoint_list;
mod endpoint_table;
mod failure_detection;
mod fills;
mod health;
mod load_feedback;
mod multiset;
mod outcomes;
mod placement;
mod planning;
mod purge_times;
mod purges;
mod recent_keys;
mod rendezvous_hash;
mod request_state;
mod requests;
mod retries;
mod retry_budget;
mod router;
mod slow_start;
mod source_choice;
mod timers;
mod token_bucket;
mod units;
mod wait_queues;

pub use router::Router;
