//! Whatever is written, lost and told: copies of a store that is restored end as the store is.

mod copies;

use arbtest::arbitrary::{self, Unstructured};
use eelgrasspier_decide::history::Position;
use eelgrasspier_decide::mirror::{Changes, Deleted, Mirror, Retention, Versioned};

use copies::{DOUBT_MS, copy, object, of_replicas, whole};

/// Whatever is written, lost and told, all copies end as the store is, and the newest version is
/// never given up.
fn end_as_the_store_is(u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
    let mut store: Vec<Versioned> = Vec::new();
    let (mut era, mut revision, mut edition) = (1, 1, 1);
    let mut saved = (store.clone(), revision);
    let mut mirrors = [of_replicas(), of_replicas()];
    let mut newest = copy(Retention::Always);
    let mut now_ms = 0;
    for _ in 0..u.int_in_range(1..=24)? {
        now_ms += u.int_in_range(0..=1_500)?;
        let name = *u.choose(&["a", "b", "c"])?;
        match u.int_in_range(0..=6)? {
            0 => saved = (store.clone(), revision),
            1 => {
                (store, revision) = saved.clone();
                era += 1;
            }
            2 => {
                store.retain(|o| o.name != name);
                revision += 1;
            }
            3 | 4 => {
                (revision, edition) = (revision + 1, edition + 1);
                store.retain(|o| o.name != name);
                store.push(object(name, revision, edition));
            }
            5 => {
                let from: usize = u.int_in_range(0..=1)?;
                let told = mirrors[from].since(mirrors[1 - from].position());
                mirrors[1 - from].apply(&told, now_ms);
            }
            _ => {
                let at: usize = u.int_in_range(0..=1)?;
                mirrors[at].apply(&whole((era, revision), store.clone()), now_ms);
            }
        }
        let known = newest.since(Position::default()).objects;
        newest.apply(&whole((era, revision), store.clone()), now_ms);
        for before in known {
            let kept = newest.since(Position::default()).objects;
            let kept = kept.iter().find(|o| o.name == before.name);
            assert!(kept.is_none_or(|o| o.edition >= before.edition), "{before:?} {kept:?}");
        }
        for mirror in &mut mirrors {
            mirror.expire(now_ms);
        }
    }
    let mut listed: Vec<String> = store.iter().map(|o| o.name.clone()).collect();
    listed.sort_unstable();
    for mirror in &mut mirrors {
        mirror.apply(&whole((era, revision), store.clone()), now_ms);
        mirror.expire(now_ms + DOUBT_MS);
        let names: Vec<String> =
            mirror.since(Position::default()).objects.into_iter().map(|o| o.name).collect();
        assert_eq!(names, listed);
    }
    Ok(())
}

/// A store of numbered objects that can be restored from a copy.
#[derive(Debug, Clone, Default)]
struct Store {
    era: u64,
    revision: u64,
    objects: Vec<Versioned>,
    deleted: Vec<Deleted>,
    /// Whether writers number what they write.
    has_editions: bool,
    /// Number under which each name was written last.
    editions: [u64; NAMES.len()],
}

const NAMES: [&str; 3] = ["a", "b", "c"];

impl Store {
    fn write(&mut self, name: usize, is_new: bool) {
        self.editions[name] += u64::from(is_new);
        self.delete(name);
        let written = object(NAMES[name], self.revision, self.editions[name]);
        let edition = written.edition.filter(|_| self.has_editions);
        self.objects.push(Versioned { edition, ..written });
        self.deleted.retain(|d| d.name != NAMES[name]);
    }

    fn delete(&mut self, name: usize) {
        self.revision += 1;
        let name = NAMES[name].to_owned();
        let count = self.objects.len();
        self.objects.retain(|o| o.name != name);
        if self.objects.len() < count {
            self.deleted.push(Deleted { name, revision: self.revision, ..Deleted::default() });
        }
    }

    /// Comes back from a copy; what writers have numbered goes on.
    fn restore(&mut self, saved: &Self) {
        let (era, editions) = (self.era + 1, self.editions);
        *self = Self { era, editions, ..saved.clone() };
    }

    fn changes(&self, above: Position) -> Changes {
        let is_whole = above.era != self.era;
        let is_wanted = |revision: u64| is_whole || revision > above.revision;
        let objects = self.objects.iter().filter(|o| is_wanted(o.revision)).cloned().collect();
        let deleted = self.deleted.iter().filter(|d| !is_whole && is_wanted(d.revision));
        let deleted = deleted.cloned().collect();
        Changes { as_of: self.revision, is_whole, objects, deleted, ..Changes::default() }
            .in_era(self.era)
    }
}

/// Copies of which some watch the store; the others hear from these where there is news.
struct Fleet {
    mirrors: [Mirror; 4],
    told: [Position; WATCHERS],
}

const WATCHERS: usize = 2;

impl Fleet {
    fn new() -> Self {
        Self { mirrors: std::array::from_fn(|_| of_replicas()), told: Default::default() }
    }

    fn take(&mut self, at: usize, changes: &Changes, now_ms: u64) {
        let before = self.mirrors[at].position();
        let applied = self.mirrors[at].apply(changes, now_ms);
        let after = self.mirrors[at].position();
        if at < WATCHERS && (applied.has_news() || before.era < after.era) {
            self.told[at] = after;
        }
    }

    /// Each has from a watcher what it lacks, as far as it was told that there is something.
    fn pull(&mut self, now_ms: u64) {
        for at in 0..self.mirrors.len() {
            for from in (0..WATCHERS).filter(|from| *from != at) {
                let position = self.mirrors[at].position();
                if self.told[from] > position {
                    let changes = self.mirrors[from].since(position);
                    self.take(at, &changes, now_ms);
                }
            }
        }
    }

    fn expire(&mut self, now_ms: u64) {
        self.mirrors.iter_mut().for_each(|mirror| drop(mirror.expire(now_ms)));
    }
}

/// The same for copies that hear of news only, without polls.
fn end_as_the_store_is_by_news(
    u: &mut Unstructured<'_>,
    has_editions: bool,
) -> arbitrary::Result<()> {
    let mut store = Store { era: 1, has_editions, ..Store::default() };
    let (mut saved, mut fleet, mut now_ms) = (store.clone(), Fleet::new(), 0);
    for _ in 0..u.int_in_range(1..=24)? {
        now_ms += u.int_in_range(0..=1_500)?;
        fleet.expire(now_ms);
        let name = u.choose_index(NAMES.len())?;
        match u.int_in_range(0..=7)? {
            0 => saved = store.clone(),
            1 => store.restore(&saved),
            2 => store.delete(name),
            3 | 4 => store.write(name, u.arbitrary()?),
            5 => fleet.pull(now_ms),
            _ => {
                let at = u.choose_index(WATCHERS)?;
                let changes = store.changes(fleet.mirrors[at].position());
                fleet.take(at, &changes, now_ms);
            }
        }
    }
    for at in 0..WATCHERS {
        let changes = store.changes(fleet.mirrors[at].position());
        fleet.take(at, &changes, now_ms);
    }
    fleet.pull(now_ms);
    fleet.expire(now_ms + DOUBT_MS);
    let mut expected: Vec<&str> = store.objects.iter().map(|o| o.name.as_str()).collect();
    expected.sort_unstable();
    for mirror in &fleet.mirrors {
        let objects = mirror.since(Position::default()).objects;
        let names: Vec<&str> = objects.iter().map(|o| o.name.as_str()).collect();
        assert_eq!(names, expected, "{store:?}");
    }
    Ok(())
}

/// Guards against objects that the store lacks and that are kept for good: after an older edition
/// of it was listed, or left out.
#[test]
fn copies_end_as_the_store_is() {
    for seed in [0x660f_a7cc_0001_0000, 0xae0f_c75c_0001_0000] {
        arbtest::arbtest(end_as_the_store_is).seed(seed);
    }
    arbtest::arbtest(end_as_the_store_is);
}

/// Guards against copies that differ until their next poll, since one that watches found no news
/// in what it was told, or told it otherwise than it is.
#[test]
fn copies_that_hear_of_news_only_end_as_the_store_is() {
    let seeds = [
        0xf98e_2f5e_0000_02c3,
        0x2bc3_cbd1_0001_0000,
        0x75ac_6b4c_0001_0000,
        0xc384_1411_0001_0000,
    ];
    for seed in seeds {
        arbtest::arbtest(|u| end_as_the_store_is_by_news(u, true)).seed(seed);
    }
    for has_editions in [true, false] {
        arbtest::arbtest(|u| end_as_the_store_is_by_news(u, has_editions));
    }
}
