//! Property tests: mirrors converge to a store that is restored from a backup.

mod mirrors;

use arbtest::arbitrary::{self, Unstructured};
use eelgrasspier_decide::history::Position;
use eelgrasspier_decide::mirror::{Changes, Deleted, Mirror, Retention, Versioned};

use mirrors::{WITHHOLD_MS, full_list, new_mirror, object, replica_mirror};

/// Checks that any sequence of writes, restores and exchanges ends in the state of the store.
///
/// The newest known version must never be given up.
fn mirrors_converge(u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
    let mut store: Vec<Versioned> = Vec::new();
    let (mut era, mut revision, mut edition) = (1, 1, 1);
    let mut backup = (store.clone(), revision);
    let mut mirrors = [replica_mirror(), replica_mirror()];
    let mut newest = new_mirror(Retention::Always);
    let mut now_ms = 0;
    for _ in 0..u.int_in_range(1..=24)? {
        now_ms += u.int_in_range(0..=1_500)?;
        let name = *u.choose(&["a", "b", "c"])?;
        match u.int_in_range(0..=6)? {
            0 => backup = (store.clone(), revision),
            1 => {
                (store, revision) = backup.clone();
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
                let changes = mirrors[from].changes_since(mirrors[1 - from].position());
                mirrors[1 - from].apply(&changes, now_ms);
            }
            _ => {
                let at: usize = u.int_in_range(0..=1)?;
                mirrors[at].apply(&full_list((era, revision), store.clone()), now_ms);
            }
        }
        let known = newest.changes_since(Position::default()).objects;
        newest.apply(&full_list((era, revision), store.clone()), now_ms);
        for before in known {
            let kept = newest.changes_since(Position::default()).objects;
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
        mirror.apply(&full_list((era, revision), store.clone()), now_ms);
        mirror.expire(now_ms + WITHHOLD_MS);
        let names: Vec<String> =
            mirror.changes_since(Position::default()).objects.into_iter().map(|o| o.name).collect();
        assert_eq!(names, listed);
    }
    Ok(())
}

/// Store of versioned objects that can be restored from a backup.
#[derive(Debug, Clone, Default)]
struct Store {
    era: u64,
    revision: u64,
    objects: Vec<Versioned>,
    deleted: Vec<Deleted>,
    /// True if writers assign version numbers.
    has_editions: bool,
    /// Last version number assigned for each name.
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

    /// Restores a backup; the writers' version numbers continue.
    fn restore(&mut self, backup: &Self) {
        let (era, editions) = (self.era + 1, self.editions);
        *self = Self { era, editions, ..backup.clone() };
    }

    fn changes(&self, above: Position) -> Changes {
        let is_whole = above.era != self.era;
        let is_included = |revision: u64| is_whole || revision > above.revision;
        let objects = self.objects.iter().filter(|o| is_included(o.revision)).cloned().collect();
        let deleted = self.deleted.iter().filter(|d| !is_whole && is_included(d.revision));
        let deleted = deleted.cloned().collect();
        Changes { as_of: self.revision, is_whole, objects, deleted, ..Changes::default() }
            .with_era(self.era)
    }
}

/// Mirrors of which some watch the store; the others get changes from these when notified.
struct Fleet {
    mirrors: [Mirror; 4],
    announced: [Position; WATCHERS],
}

const WATCHERS: usize = 2;

impl Fleet {
    fn new() -> Self {
        Self { mirrors: std::array::from_fn(|_| replica_mirror()), announced: Default::default() }
    }

    fn apply(&mut self, at: usize, changes: &Changes, now_ms: u64) {
        let before = self.mirrors[at].position();
        let applied = self.mirrors[at].apply(changes, now_ms);
        let after = self.mirrors[at].position();
        if at < WATCHERS && (applied.needs_notification() || before.era < after.era) {
            self.announced[at] = after;
        }
    }

    /// Each mirror pulls the changes it lacks from watchers that have announced some.
    fn pull(&mut self, now_ms: u64) {
        for at in 0..self.mirrors.len() {
            for from in (0..WATCHERS).filter(|from| *from != at) {
                let position = self.mirrors[at].position();
                if self.announced[from] > position {
                    let changes = self.mirrors[from].changes_since(position);
                    self.apply(at, &changes, now_ms);
                }
            }
        }
    }

    fn expire(&mut self, now_ms: u64) {
        self.mirrors.iter_mut().for_each(|mirror| drop(mirror.expire(now_ms)));
    }
}

/// The same for mirrors that rely on notifications, without polls.
fn mirrors_converge_by_notifications(
    u: &mut Unstructured<'_>,
    has_editions: bool,
) -> arbitrary::Result<()> {
    let mut store = Store { era: 1, has_editions, ..Store::default() };
    let (mut backup, mut fleet, mut now_ms) = (store.clone(), Fleet::new(), 0);
    for _ in 0..u.int_in_range(1..=24)? {
        now_ms += u.int_in_range(0..=1_500)?;
        fleet.expire(now_ms);
        let name = u.choose_index(NAMES.len())?;
        match u.int_in_range(0..=7)? {
            0 => backup = store.clone(),
            1 => store.restore(&backup),
            2 => store.delete(name),
            3 | 4 => store.write(name, u.arbitrary()?),
            5 => fleet.pull(now_ms),
            _ => {
                let at = u.choose_index(WATCHERS)?;
                let changes = store.changes(fleet.mirrors[at].position());
                fleet.apply(at, &changes, now_ms);
            }
        }
    }
    for at in 0..WATCHERS {
        let changes = store.changes(fleet.mirrors[at].position());
        fleet.apply(at, &changes, now_ms);
    }
    fleet.pull(now_ms);
    fleet.expire(now_ms + WITHHOLD_MS);
    let mut expected: Vec<&str> = store.objects.iter().map(|o| o.name.as_str()).collect();
    expected.sort_unstable();
    for mirror in &fleet.mirrors {
        let objects = mirror.changes_since(Position::default()).objects;
        let names: Vec<&str> = objects.iter().map(|o| o.name.as_str()).collect();
        assert_eq!(names, expected, "{store:?}");
    }
    Ok(())
}

/// Guards against permanently retaining objects that the store lacks. This happened after an older
/// version of the object was listed or withheld.
#[test]
fn mirrors_converge_to_the_store() {
    for seed in [0x660f_a7cc_0001_0000, 0xae0f_c75c_0001_0000] {
        arbtest::arbtest(mirrors_converge).seed(seed);
    }
    arbtest::arbtest(mirrors_converge);
}

/// Guards against mirrors that differ until their next poll. A watcher did not announce a change
/// that it had applied, or passed it on incorrectly.
#[test]
fn notified_mirrors_converge_to_the_store() {
    let seeds = [
        0xf98e_2f5e_0000_02c3,
        0x2bc3_cbd1_0001_0000,
        0x75ac_6b4c_0001_0000,
        0xc384_1411_0001_0000,
    ];
    for seed in seeds {
        arbtest::arbtest(|u| mirrors_converge_by_notifications(u, true)).seed(seed);
    }
    for has_editions in [true, false] {
        arbtest::arbtest(|u| mirrors_converge_by_notifications(u, has_editions));
    }
}
