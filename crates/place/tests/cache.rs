//! The estimate of what an engine has cached.

use primrose_place::cache::Cache;

/// Two keys that a lookup by a part of their bits can confuse.
const KEYS: [u64; 2] = [5, 5 + (1 << 40)];

// A part must not be taken for another one, nor be missed, whichever of them is removed or evicted.
#[test]
fn parts_with_similar_keys_are_told_apart() {
    let [first, second] = KEYS.map(|key| [(key, 100)]);
    let mut cache = Cache::default();
    assert_eq!(cache.cached_tokens(&first), 0);
    cache.touch(&first, 1_000);
    assert_eq!(
        (cache.cached_tokens(&first), cache.cached_tokens(&second)),
        (100, 0)
    );
    cache.touch(&second, 1_000);
    cache.remove_unread(&first);
    assert_eq!(
        (cache.cached_tokens(&first), cache.cached_tokens(&second)),
        (0, 100)
    );
    cache.record_ready(&first, 1_000);
    assert_eq!(
        (cache.ready_tokens(&first), cache.ready_tokens(&second)),
        (100, 0)
    );
    cache.record_ready(&second, 150);
    assert_eq!(
        (cache.cached_tokens(&first), cache.ready_tokens(&second)),
        (0, 100)
    );
    cache.clear();
    assert_eq!(
        (cache.cached_tokens(&first), cache.cached_tokens(&second)),
        (0, 0)
    );
}
