//! Tests of the pauses of failed servers and of the estimates of output tokens.

use primrose_base::clock::Time;
use primrose_base::id;
use primrose_schedule::estimate::Estimator;
use primrose_schedule::health::{Health, INITIAL_BACKOFF_MS, MAX_BACKOFF_MS};

const SERVER: id::Server = id::Server(3);

/// Guards against a server that refuses connections and, with its slots free at once, draws all requests.
#[test]
fn a_failed_server_pauses_and_is_then_tried_with_one_request() {
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

/// Guards against pauses that grow without limit, or with every request that was already on its way.
#[test]
fn pauses_double_up_to_the_longest_one() {
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

/// Guards against estimates that exceed what the caller allows, and against means that never reach a steady value.
#[test]
fn the_mean_follows_the_answers_and_keeps_the_limit() {
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
