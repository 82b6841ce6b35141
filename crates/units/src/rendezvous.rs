//! Rendezvous hashing (Thaler and Ravishankar, 1998): every process ranks the same members for
//! the same key in the same order, and a member that comes or goes moves only its own share.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The score of `member` for `key`; the highest wins.
pub fn score(key: &str, member: &str) -> u64 {
    xxh3_64_with_seed(member.as_bytes(), xxh3_64_with_seed(key.as_bytes(), 0))
}

/// Deals `keys` out in their order, each to its highest-ranked member that has not got its even
/// share yet. Plain rendezvous hashing leaves some members with several times their share when
/// there are few keys.
pub fn deal<K: AsRef<str>, T: AsRef<str>>(
    keys: impl IntoIterator<Item = K>,
    members: &[T],
) -> Vec<(K, &T)> {
    let keys: Vec<K> = keys.into_iter().collect();
    let share = keys.len().div_ceil(members.len().max(1));
    let mut got = vec![0_usize; members.len()];
    let mut dealt = Vec::with_capacity(keys.len());
    for key in keys {
        let free = (0..members.len()).filter(|index| got[*index] < share);
        let Some(best) = free.max_by_key(|index| score(key.as_ref(), members[*index].as_ref()))
        else {
            break;
        };
        got[best] += 1;
        dealt.push((key, &members[best]));
    }
    dealt
}

/// The members, the highest score for `key` first.
pub fn ranked<'a, T: AsRef<str>>(
    key: &str,
    members: impl IntoIterator<Item = &'a T>,
) -> Vec<&'a T> {
    let mut ranked: Vec<(u64, &T)> =
        members.into_iter().map(|m| (score(key, m.as_ref()), m)).collect();
    ranked.sort_by(|a, b| (b.0, b.1.as_ref()).cmp(&(a.0, a.1.as_ref())));
    ranked.into_iter().map(|(_, member)| member).collect()
}
