//! The decisions of a request router, without I/O and without a clock. The types of its interface are in
//! [`crate::api`]; `docs/design.md` cites the design that they follow and says when each departure from it acts.
//!
//! [`Router`] (module `router`) holds the state and hands each event to the module that decides about it:
//!
//! | module | decides |
//! | --- | --- |
//! | `endpoint_list` | changes of the endpoint list, operators' cordons, health handed over between processes |
//! | `requests` | the life of a request from its arrival to its end |
//! | `admission` | whether a request is sent, waits for capacity, or is given up |
//! | `planning` | where the next attempt goes |
//! | `cache_choice`, `source_choice` | the cache and the source of a fill, in rendezvous order |
//! | `fills` | what a fill waits for and the instructions that go with it |
//! | `purges` | the greatest age of a copy that may answer |
//! | `dispatch` | sends an attempt and takes the capacity that it needs |
//! | `outcomes` | what the end of an attempt says, and what becomes of the request |
//! | `retries` | retries and hedged requests |
//! | `failure_detection`, `health` | which endpoint is charged with a failure; UP, DOWN and SUSPECT |
//! | `load_feedback`, `concurrency_limit` | how many requests may be in flight |
//! | `slow_start` | what an endpoint gets that started recently |
//!
//! The other modules are data structures. Modules that decide extend [`Router`]; no module imports one that imports
//! it.
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
