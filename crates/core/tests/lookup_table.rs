//! Tests of the lookup table: shares, distinct picks and stability under membership changes.

use camphorwinch_core::lookup_table::{LookupTable, Member};
use quickcheck::quickcheck;

fn names(count: usize) -> Vec<String> {
    (0..count).map(|it| format!("agent-{it}")).collect()
}

fn equal(names: &[String]) -> Vec<Member<'_>> {
    names.iter().map(|name| Member { name, weight: 1.0 }).collect()
}

quickcheck! {
    fn shares_follow_the_weights(weights: Vec<u8>) -> bool {
        let names = names(weights.len());
        let members: Vec<_> = names.iter().zip(&weights).map(|(name, &weight)| Member { name, weight: weight.into() }).collect();
        let slots = LookupTable::new(&members);
        let counts = slots.counts();
        let total: f64 = members.iter().map(|it| it.weight).sum();
        let size: usize = counts.iter().sum();
        members.iter().zip(counts).all(|(it, count)| (it.weight / total * size as f64 - count as f64).abs() <= 1.0)
    }

    fn picks_are_distinct_members(count: u8, hash: u64) -> bool {
        let names = names(count.into());
        let slots = LookupTable::new(&equal(&names));
        let picks = slots.pick(hash);
        let mut sorted = picks.as_slice().to_vec();
        sorted.sort_unstable();
        sorted.dedup();
        sorted.len() == usize::from(count).min(3) && sorted.iter().all(|&it| it < count.into())
    }

    fn arbitrary_weights_pick_only_existing_members(weights: Vec<f64>, hash: u64) -> bool {
        let names = names(weights.len());
        let members: Vec<_> = names.iter().zip(&weights).map(|(name, &weight)| Member { name, weight: weight.abs() }).collect();
        LookupTable::new(&members).pick(hash).as_slice().iter().all(|&it| usize::from(it) < members.len())
    }
}

#[test]
fn removing_a_member_moves_few_entries_of_others() {
    for count in [4, 7, 30, 300] {
        let names = names(count);
        let all = equal(&names);
        let without = &all[..count - 1];
        let (before, after) = (LookupTable::new(&all), LookupTable::new(without));
        let size = before.counts().iter().sum::<usize>() as u64;
        let stayed = (0..size).filter(|&at| before.member(at) == after.member(at)).count();
        let share = stayed as f64 / size as f64;
        let ideal = 1.0 - 1.0 / count as f64;
        assert!(
            share > ideal - 0.15,
            "{count} members: {share} of the entries stayed, ideal {ideal}"
        );
    }
}

#[test]
fn flows_forwarded_by_a_full_member_spread_over_the_others() {
    let names = names(7);
    let slots = LookupTable::new(&equal(&names));
    let mut second = [0; 7];
    for hash in 0..200_000_u64 {
        let picks = slots.pick(hash.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        if picks.as_slice()[0] == 3 {
            second[usize::from(picks.as_slice()[1])] += 1;
        }
    }
    let total: u32 = second.iter().sum();
    let mean = total / 6;
    assert_eq!(second[3], 0);
    for (member, &count) in second.iter().enumerate().filter(|(member, _)| *member != 3) {
        assert!(
            count > mean * 9 / 10 && count < mean * 11 / 10,
            "member {member}: {count} of {total}"
        );
    }
}
