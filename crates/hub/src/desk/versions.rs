//! Versions of the shape, from the control service or by the keeper.
use super::fills::Stage;
use super::{Desk, Order};
use harestage::time::Moment;
use harestage_audit::messages::Update;
use harestage_audit::process::KeeperRequest;
use harestage_restart::stage::StartEvent;
use harestage_shape::config::ShapeConfig;
use harestage_shape::topology::{NodeIndex, Shape};

impl Desk {
    /// A version that does not hold is passed over whole; the service checks it before it hands it out.
    pub(super) fn told(&mut self, form: &ShapeConfig, now: Moment) {
        let shape = match self.versions.newest() {
            Some(newest) if form.version <= newest.version() => return,
            Some(newest) => newest.successor(form),
            None => Shape::from_config(form),
        };
        let shape = match shape {
            Ok(shape) => shape,
            Err(wrong) => {
                let why = wrong.first().map(ToString::to_string).unwrap_or_default();
                return self
                    .audit
                    .iter_mut()
                    .for_each(|audit| audit.acting.reject_version(form.version, &why));
            }
        };
        let (archive, tops) = (shape.archive(), shape.top_hubs().len());
        self.archive.share.configure(archive.capacity * archive.stops_at, tops, self.alone);
        self.versions.insert(shape, now);
        self.sources.find_fenced(&self.versions);
        self.start.hear(StartEvent::ShapeKnown);
        // What rests may have another way now.
        let resting = self.fills.each(|fill| matches!(fill.stage, Stage::Resting).then_some(()));
        resting.into_iter().for_each(|(key, ())| self.advance(key, now));
    }

    pub(super) fn wanted(&mut self, wanted: KeeperRequest, now: Moment) {
        match wanted {
            KeeperRequest::Restart(why) => self.orders.push(Order::StartAnew(why)),
            KeeperRequest::Apply(bring) => self.brought(bring, now),
        }
    }

    /// A version that came by the keeper, since the service could not be heard.
    fn brought(&mut self, bring: Update, now: Moment) {
        match bring {
            Update::Full { shape, plans } => {
                let version = shape.version;
                self.told(&shape, now);
                self.handed(version, plans, now);
            }
            Update::Difference { from, to, upstreams: ties } => {
                let Some(own) = self.versions.newest().filter(|own| own.version() == from) else { return };
                let mut form = own.to_config();
                form.version = to;
                for (place, up) in ties {
                    form.hubs.iter_mut().filter(|hub| hub.name == place).for_each(|hub| hub.up = up.clone());
                }
                self.told(&form, now);
            }
            Update::Membership { .. } | Update::Restart { .. } => {}
        }
    }

    pub fn version(&self) -> u64 {
        self.versions.newest().map_or(0, Shape::version)
    }

    pub(super) fn me(&self, shape: &Shape) -> NodeIndex {
        // A hub that no version names yet still serves what it holds; its fills go the usual way from nowhere.
        shape.find(&self.name).unwrap_or(NodeIndex(u32::MAX))
    }
}
