//! What a hub makes of what the services say: each word goes to the desk through its one queue.
use super::Shared;
use crate::desk::News;
use async_channel::Sender;
use harestage::time::Moment;
use harestage_audit::messages as audit;
use harestage_following::audit::Audited;
use harestage_following::control::{Heard, Member};
use harestage_following::purges;
use harestage_purge::follower::Action;
use harestage_shape::control::HubReport;
use harestage_shape::messages;
use std::rc::Rc;

/// A hub as the control service's member.
pub(crate) struct Hub {
    pub shared: Rc<Shared>,
    pub inbox: Sender<News>,
}

impl Member for Hub {
    fn hello(&self) -> String {
        messages::subscribe_line(self.version(), &self.shared.name)
    }

    fn version(&self) -> u64 {
        self.shared.desk.borrow().version()
    }

    fn now(&self) -> Moment {
        self.shared.clock.now()
    }

    fn report(&self) -> HubReport {
        self.shared.desk.borrow_mut().report(self.now())
    }

    async fn hear(&self, heard: Heard) {
        let news = match heard {
            Heard::Version { term, shape, plans } => {
                let version = shape.version;
                let _ = self.inbox.send(News::Told(shape)).await;
                News::Plans { version, term, plans }
            }
            Heard::Part { part, asked } => News::Part { part, asked },
            Heard::Beat => News::ServiceSpoke,
        };
        let _ = self.inbox.send(news).await;
    }
}

/// A hub that is audited.
pub(crate) struct AuditedHub {
    pub shared: Rc<Shared>,
    pub inbox: Sender<News>,
}

impl Audited for AuditedHub {
    fn now(&self) -> Moment {
        self.shared.clock.now()
    }

    fn report(&self) -> audit::Report {
        let now = self.now();
        let mut desk = self.shared.desk.borrow_mut();
        let report = desk.audit().map(|audit| audit.report(now));
        report.unwrap_or_else(|| unreachable!("only a hub that is audited reports"))
    }

    fn has_more(&self) -> bool {
        self.shared.desk.borrow_mut().audit().is_some_and(|audit| audit.recorder().has_more())
    }

    async fn answered(&self, answer: audit::KeeperMessage, asked: Moment) -> bool {
        let wanted = self.shared.desk.borrow_mut().audit().and_then(|audit| audit.on_answer(answer, asked));
        if let Some(wanted) = wanted {
            let _ = self.inbox.send(News::Wanted(Box::new(wanted))).await;
        }
        true
    }
}

/// Hands on what is purged, and waits until the desk has taken it in: no answer after that goes by what was before.
pub(crate) struct Hands {
    pub shared: Rc<Shared>,
    pub inbox: Sender<News>,
    pub handed: u64,
    pub knows: bool,
    pub has: u64,
}

impl purges::Hands for Hands {
    async fn apply(&mut self, acts: Vec<Action>, has: u64, ready: bool) {
        let new = !acts.is_empty();
        for act in acts {
            let news = match act {
                Action::Purge { scope, at } => News::Covered { scope: Box::new(scope), at },
                Action::SetFenced(fenced) => News::Fenced(fenced),
            };
            self.hand(news).await;
        }
        if ready && !self.knows {
            self.knows = true;
            self.hand(News::KnowsPurges).await;
        }
        if new || has > self.has {
            self.has = has;
            self.hand(News::HasPurges(has)).await;
        }
        while self.shared.purges_taken.get() < self.handed {
            let taken = self.shared.purges_were_taken.listen();
            if self.shared.purges_taken.get() < self.handed {
                taken.await;
            }
        }
    }
}

impl Hands {
    async fn hand(&mut self, news: News) {
        self.handed += 1;
        let _ = self.inbox.send(news).await;
    }
}
