//! Tests of the back-off for failed servers and of the estimates of output tokens.

use primrose_base::clock::Time;
use primrose_base::id;
use primrose_schedule::estimate::Estimator;
use primrose_schedule::health::{Health, INITIAL_BACKOFF_MS, MAX_BACKOFF_MS};

const SERVER: id::Server = id::Server(3);

/// Guards against a server that refuses connections and receives all requests, because its slots become free at once.
#[test]
fn failed_server_is_tried_with_one_request_after_the_back_off() {
    let mut health = Health::default();
    let mut now = Time::from_ms(100);
    assert_eq!(health.limit(SERVER, 8, now), 8);
    health.record_failure(SERVER, now);
    assert_eq!(health.limit(SERVER, 8, now), 0);
    now = now.plus_ms(INITIAL_BACKOFF_MS);
    assert_eq!(health.limit(SERVER, 8, now), 1);
    assert!(health.record_success(SERVER));
    assert_eq!(health.limit(SERVER, 8, now), 8);
}

/// Guards against a back-off that grows without limit, or with every failed request that was dispatched before it
/// started.
#[test]
fn back_off_doubles_up_to_the_maximum() {
    let mut health = Health::default();
    let mut now = Time::from_ms(100);
    let mut backoff_ms = INITIAL_BACKOFF_MS;
    for _ in 0..8 {
        health.record_failure(SERVER, now);
        health.record_failure(SERVER, now.plus_ms(1));
        assert_eq!(health.next_retry(now), Some(now.plus_ms(backoff_ms)));
        now = now.plus_ms(backoff_ms);
        assert!(!health.is_backing_off(SERVER, now));
        backoff_ms = (2 * backoff_ms).min(MAX_BACKOFF_MS);
    }
}

/// Guards against estimates above the limit of the caller, and against means that never converge.
#[test]
fn mean_follows_the_answers_and_is_capped_by_the_limit() {
    let (pool, account) = (id::Pool(1), id::Account(2));
    let mut estimator = Estimator::default();
    assert_eq!(estimator.output_tokens(pool, account, 256, None), 256);
    assert_eq!(estimator.output_tokens(pool, account, 256, Some(10)), 10);
    estimator.record(pool, account, 1_000);
    for _ in 0..100 {
        estimator.record(pool, account, 40);
    }
    assert_eq!(estimator.output_tokens(pool, account, 256, None), 40);
    assert_eq!(
        estimator.output_tokens(pool, id::Account(9), 256, None),
        256
    );
}
