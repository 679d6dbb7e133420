use proptest::prelude::*;

use crate::capacity::Amount;
use crate::capacity::UNLIMITED;
use crate::declaration::Limits;

fn amount(streams: u64, memory: u64, prefill: u64) -> Amount {
    Amount {
        streams,
        memory,
        prefill,
    }
}

#[test]
fn zero_tokens_mean_unlimited_but_zero_streams_mean_none() {
    let limits = Limits {
        streams: 3,
        memory_tokens: 0,
        prefill_tokens: 7,
    };
    assert_eq!(Amount::of_limits(limits), amount(3, UNLIMITED, 7));
    assert_eq!(Amount::of_limits(Limits::default()), Amount::ZERO);
}

#[test]
fn unlimited_quantities_stay_unlimited() {
    let limit = amount(4, UNLIMITED, 10);
    assert_eq!(limit.minus(amount(1, 500, 3)), amount(3, UNLIMITED, 7));
    assert_eq!(limit.minus(limit), amount(0, UNLIMITED, 0));
    assert_eq!(limit.fraction_floor(1, 3), amount(1, UNLIMITED, 3));
    assert_eq!(limit.fraction_ceil(1, 3), amount(2, UNLIMITED, 4));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn parts_sum_to_no_more_than_the_whole(
        whole in 0_u64..1_000_000,
        weights in prop::collection::vec(1_u64..1_000, 1..14),
    ) {
        let total: u64 = weights.iter().sum();
        let limit = amount(whole, whole, whole);
        let sum = weights
            .iter()
            .fold(Amount::ZERO, |sum, weight| sum.plus(limit.fraction_floor(*weight, total)));
        prop_assert!(limit.covers(sum));
    }
}
