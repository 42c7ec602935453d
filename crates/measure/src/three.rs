//! A fleet of three sites as a scenario: services, hubs, and branches with routers, edge caches and clients, each a process
//! of its own, around one archive. Drills, tests and measurements change what they need of it.
use harestage_fleet::scenario::{ProcessForm, Runs, Scenario, WayForm};
use serde_json::{Map, Value, json};

pub const SITES: [&str; 3] = ["east", "west", "north"];

/// How large it is, and how it is used.
#[derive(Clone, Debug)]
pub struct Three {
    pub name: String,
    pub lasts_ms: u64,
    /// Members of each service, over the sites in turn.
    pub services: usize,
    pub hubs_a_site: usize,
    pub routers_a_branch: usize,
    /// Fills a second that a hub gives out.
    pub hub_capacity: f64,
    pub archive_capacity: f64,
    /// Downloads a second of each branch.
    pub rate: f64,
    pub objects: u64,
    pub comes_again: u32,
    /// Part of what is asked for that is filings, against 10 of all else.
    pub filings: f64,
    pub surge: Option<Value>,
    pub purges: bool,
    /// Each site has two gatherers between its members and the service of purges.
    pub gatherers: bool,
    /// Each branch has a feed of its own, which stands at the branch.
    pub own_feeds: bool,
    /// Hubs keep copies on their disks, which forget what was not synced.
    pub storage: bool,
    /// So long after its start every object of the archive has changed.
    pub changes_after_ms: Option<u64>,
    /// Members of the keeper of the audit; 0: there is none.
    pub keepers: usize,
    /// Each branch has a hub of its site as a cache, which its routers ask directly.
    pub hub_caches: bool,
    /// Routers tell edge caches too under what they pull, and are shut out by nothing.
    pub marks_all: bool,
    pub plain: bool,
    /// Whether hubs say where they are: without it nobody can say that a site is lost.
    pub knows_sites: bool,
    /// Each hub runs on a machine that bears so much, warms up, and falls over.
    pub machines: bool,
    /// Clients come again at once, whatever they are told.
    pub eager: bool,
    /// Times that everybody waits longer than usual, for tests on machines that may be busy with something else.
    pub patience: u64,
}

impl Default for Three {
    fn default() -> Three {
        Three {
            name: "three sites".into(),
            lasts_ms: 10_000,
            services: 1,
            hubs_a_site: 2,
            routers_a_branch: 1,
            hub_capacity: 200.0,
            archive_capacity: 150.0,
            rate: 30.0,
            objects: 400,
            comes_again: 2,
            filings: 0.3,
            surge: None,
            purges: false,
            gatherers: false,
            own_feeds: false,
            storage: false,
            changes_after_ms: None,
            keepers: 0,
            hub_caches: false,
            marks_all: false,
            plain: false,
            knows_sites: true,
            machines: false,
            eager: false,
            patience: 1,
        }
    }
}

pub fn gatherer(site: &str, n: usize) -> String {
    format!("gather-{site}-{n}")
}

fn branch(site: &str) -> String {
    format!("br-{site}")
}

pub fn hub(site: &str, n: usize) -> String {
    format!("hub-{site}-{n}")
}

pub fn control(n: usize) -> String {
    format!("control-{n}")
}

fn map(value: Value) -> Map<String, Value> {
    value.as_object().cloned().unwrap_or_default()
}

fn process(name: &str, site: &str, runs: Runs, file: Value) -> ProcessForm {
    ProcessForm {
        name: name.into(),
        site: site.into(),
        runs,
        file: map(file),
        words: Vec::new(),
        ports: Vec::new(),
        starts_ms: 0,
        clock_off_ms: 0,
        forgets_unsynced: false,
    }
}

impl Three {
    /// All hubs, each with its site.
    pub fn hubs(&self) -> Vec<(&'static str, String)> {
        SITES.iter().flat_map(|site| (1..=self.hubs_a_site).map(|n| (*site, hub(site, n)))).collect()
    }

    /// What a member of the control service is called; one that is alone has no name of its own.
    fn member(&self, n: usize) -> String {
        if self.services > 1 { control(n) } else { "control".into() }
    }

    /// Where others reach a hub: past its machine.
    fn reached(&self, hub: &str) -> String {
        if self.machines { format!("@m-{hub}") } else { format!("@{hub}") }
    }

    /// The shape in service at the start. Each branch is tied to a hub of its own site and to one of the next.
    pub fn shape(&self) -> Value {
        let hubs = self.hubs().into_iter().map(|(site, name)| {
            let site = if self.knows_sites { site } else { "" };
            json!({"name": name, "address": self.reached(&name), "site": site, "capacity": self.hub_capacity,
                "passes": 0.3, "cold_ms": 4_000, "up": ["archive"]})
        });
        let branches = SITES.iter().enumerate().map(|(n, site)| {
            let next = SITES[(n + 1) % SITES.len()];
            let mut caches = vec![json!({"name": format!("s-{n}"), "address": format!("@edge-{site}")})];
            if self.hub_caches {
                let address = self.reached(&hub(site, self.hubs_a_site));
                caches.push(json!({"name": format!("hub-c-{site}"), "address": address}));
            }
            let members = if self.own_feeds { 0 } else { self.services };
            let feeds: Map<String, Value> = (1..=members)
                .map(|n| (self.member(n), json!(format!("!{}/{}", control(n), branch(site)))))
                .collect();
            json!({"name": branch(site), "site": if self.knows_sites { site } else { "" }, "load": self.rate, "hubs": [hub(site, 1), hub(next, 1)],
                "feeds": feeds, "caches": caches})
        });
        json!({
            "archive": {"name": "archive", "address": "@archive", "capacity": self.archive_capacity, "stops_at": 2.5},
            "hubs": hubs.collect::<Vec<_>>(), "branches": branches.collect::<Vec<_>>()
        })
    }

    pub fn scenario(&self) -> Scenario {
        let mut processes = vec![self.archive()];
        processes.extend((1..=self.services).map(|n| self.control(n)));
        if self.purges {
            processes.extend((1..=self.services).map(|n| self.purger(n)));
        }
        if self.gatherers {
            processes.extend(SITES.iter().flat_map(|site| (1..=2).map(|n| self.gatherer(site, n))));
        }
        processes.extend((1..=self.keepers).map(|n| self.keeper(n)));
        for (site, name) in self.hubs() {
            processes.push(self.hub(site, &name));
            if self.machines {
                processes.push(self.machine(site, &name));
            }
        }
        for (n, site) in SITES.iter().enumerate() {
            processes.push(self.edge(site));
            if self.own_feeds {
                processes.push(self.feed(site));
            }
            processes.extend((1..=self.routers_a_branch).map(|r| self.router(site, r)));
            processes.push(self.crowd(n, site));
        }
        let mut sites: Vec<String> = SITES.iter().map(|site| site.to_string()).collect();
        sites.extend(SITES.iter().map(|site| branch(site)));
        sites.push("core".into());
        let way = |from: &str, to: &str, delay_ms: u64| WayForm {
            from: from.into(),
            to: to.into(),
            delay_ms,
            both: true,
            ..WayForm::default()
        };
        let ways = vec![
            way("east", "west", 3),
            way("west", "north", 3),
            way("north", "east", 3),
            way("*", "core", 2),
        ];
        let (name, lasts_ms) = (self.name.clone(), self.lasts_ms);
        Scenario { name, lasts_ms, sites, processes, ways, faults: Vec::new(), expects: Vec::new() }
    }

    fn archive(&self) -> ProcessForm {
        let behaves = json!({"capacity": self.archive_capacity, "stops_at": 2.5, "answers_in_ms": 10,
            "changes_after_ms": self.changes_after_ms});
        let file = json!({"archives": [{"listen": "!archive", "behaves": behaves}]});
        process("archive", "core", Runs::Standin, file)
    }

    fn control(&self, n: usize) -> ProcessForm {
        let name = control(n);
        let mut form = process(&name, SITES[(n - 1) % SITES.len()], Runs::Control, self.shape());
        form.ports = SITES.iter().map(|site| branch(site)).collect();
        form.ports.push("group".into());
        form.forgets_unsynced = true;
        if self.services > 1 {
            form.words = self.group(&name, control);
        }
        form
    }

    fn purger(&self, n: usize) -> ProcessForm {
        let of = |n: usize| format!("purges-{n}");
        let name = of(n);
        let mut form = process(&name, SITES[(n - 1) % SITES.len()], Runs::Purges, json!({}));
        form.ports = vec!["group".into()];
        form.forgets_unsynced = true;
        if self.services > 1 {
            form.words = self.group(&name, of);
        }
        form
    }

    fn gatherer(&self, site: &str, n: usize) -> ProcessForm {
        let name = gatherer(site, n);
        let mut form = process(&name, site, Runs::Gather, json!({}));
        form.words = (1..=self.services).flat_map(|n| ["--purges".into(), format!("@purges-{n}")]).collect();
        form
    }

    /// Whom members at a site follow for purges.
    fn purges_at(&self, site: &str) -> Vec<String> {
        match self.gatherers {
            true => (1..=2).map(|n| format!("@{}", gatherer(site, n))).collect(),
            false => (1..=self.services).map(|n| format!("@purges-{n}")).collect(),
        }
    }

    fn keeper(&self, n: usize) -> ProcessForm {
        let of = |n: usize| format!("keeper-{n}");
        let name = of(n);
        let mut form = process(&name, SITES[(n - 1) % SITES.len()], Runs::Keeper, json!({}));
        form.ports = vec!["group".into()];
        form.forgets_unsynced = true;
        if self.keepers > 1 {
            form.words = self.group_of(self.keepers, &name, of);
        }
        form.words.extend((1..=self.services).flat_map(|n| ["--control".into(), format!("@{}", control(n))]));
        if self.purges {
            form.words.extend((1..=self.services).flat_map(|n| ["--purges".into(), format!("@purges-{n}")]));
        }
        form
    }

    /// Where the members of the keeper are.
    fn keepers_at(&self) -> Vec<String> {
        (1..=self.keepers).map(|n| format!("@keeper-{n}")).collect()
    }

    /// The words by which a member finds its group.
    fn group(&self, name: &str, of: impl Fn(usize) -> String) -> Vec<String> {
        self.group_of(self.services, name, of)
    }

    fn group_of(&self, members: usize, name: &str, of: impl Fn(usize) -> String) -> Vec<String> {
        let mut words =
            vec!["--member".to_string(), name.into(), "--group-listen".into(), format!("!{name}/group")];
        for n in 1..=members {
            let (peer, site) = (of(n), SITES[(n - 1) % SITES.len()]);
            words.extend([
                "--peer".to_string(),
                format!("{peer}={site}"),
                "--at".into(),
                format!("@{peer}/group"),
            ]);
            words.extend(["--serves".to_string(), format!("@{peer}")]);
        }
        words
    }

    fn hub(&self, site: &str, name: &str) -> ProcessForm {
        let controls: Vec<String> = (1..=self.services).map(|n| format!("@{}", control(n))).collect();
        let site_said = if self.knows_sites { site } else { "" };
        let mut file = json!({"name": name, "listen": format!("!{name}"), "controls": controls, "site": site_said,
            "memory_mb": 64, "contents": contents(), "keepers": self.keepers_at()});
        if self.purges {
            file["purge_services"] = json!(self.purges_at(site));
        }
        if self.storage {
            file["storage"] = json!({"folder": "%disk", "megabytes": 64});
        }
        let mut form = process(name, site, Runs::Hub, file);
        form.forgets_unsynced = self.storage;
        form
    }

    fn machine(&self, site: &str, hub: &str) -> ProcessForm {
        let name = format!("m-{hub}");
        let front = json!({"listen": format!("!{name}"), "to": format!("!{hub}"), "capacity": self.hub_capacity,
            "cold_from": 0.1, "cold_ms": 4_000, "falls_at": 2.0, "falls_within_ms": 1_000});
        process(&name, site, Runs::Standin, json!({"fronts": [front]}))
    }

    fn edge(&self, site: &str) -> ProcessForm {
        let mut sources: Map<String, Value> =
            self.hubs().into_iter().map(|(_, name)| (name.clone(), json!(self.reached(&name)))).collect();
        sources.insert("archive".into(), json!("@archive"));
        let name = format!("edge-{site}");
        let file = json!({"edges": [{"listen": format!("!{name}"), "sources": sources}]});
        process(&name, &branch(site), Runs::Standin, file)
    }

    /// The branch's own feed.
    fn feed(&self, site: &str) -> ProcessForm {
        let name = format!("feed-{site}");
        let of = |of: &str| (1..=self.services).map(|n| format!("@{of}-{n}")).collect::<Vec<_>>();
        let mut file = json!({"name": name, "branch": branch(site), "listen": format!("!{name}"),
            "controls": of("control"), "keepers": self.keepers_at()});
        if self.purges {
            file["purge_services"] = json!(self.purges_at(site));
        }
        process(&name, &branch(site), Runs::Feed, file)
    }

    fn router(&self, site: &str, n: usize) -> ProcessForm {
        let name = format!("router-{site}-{n}");
        let feeds: Vec<String> = match self.own_feeds {
            true => vec![format!("@feed-{site}")],
            false => (1..=self.services).map(|c| format!("@{}/{}", control(c), branch(site))).collect(),
        };
        let file = json!({"name": name, "listen": format!("!{name}"), "seed": format!("{:016x}", 77 + n as u64),
            "feed": feeds[0], "limits": {"memory_mb": 96, "sockets": 512},
            "known": {"n": 0, "events": []}, "settings": settings(self.routers_a_branch, self.patience)});
        let mut form = process(&name, &branch(site), Runs::Router, file);
        form.words = feeds.iter().skip(1).flat_map(|feed| ["--feed".to_string(), feed.clone()]).collect();
        let keepers = self.keepers_at().into_iter().flat_map(|at| ["--keeper".to_string(), at]);
        form.words.extend(keepers);
        form.words.extend(["--branch".to_string(), branch(site)]);
        if self.marks_all {
            form.words.extend(["hub-", "s-"].into_iter().flat_map(|of| ["--marks".to_string(), of.into()]));
        }
        if self.plain {
            form.words.push("--plain".into());
        }
        form
    }

    fn crowd(&self, n: usize, site: &str) -> ProcessForm {
        let routers: Vec<String> =
            (1..=self.routers_a_branch).map(|r| format!("@router-{site}-{r}")).collect();
        let mut crowd = json!({"routers": routers, "rate": self.rate, "objects": self.objects, "seed": 5 + n,
            "begins_ms": 1_500, "lasts_ms": self.lasts_ms.saturating_sub(1_500), "comes_again": self.comes_again, "eager": self.eager,
            "contents": [
                {"name": "clip", "share": 6, "waits_ms": 3_000 * self.patience, "target_ms": 600 * self.patience, "benefit": 2},
                {"name": "page", "share": 4, "waits_ms": 2_000 * self.patience, "target_ms": 400 * self.patience},
                {"name": "filing", "share": self.filings, "waits_ms": 3_000 * self.patience, "target_ms": 700 * self.patience, "benefit": 3, "filing": true}]});
        if let Some(surge) = &self.surge {
            crowd["surge"] = surge.clone();
        }
        process(&format!("crowd-{site}"), &branch(site), Runs::Standin, json!({"crowds": [crowd]}))
    }
}

pub fn contents() -> Value {
    json!([{"name": "clip", "benefit": 2}, {"name": "page"}, {"name": "filing", "benefit": 3}])
}

/// A router's settings, as the platform gives them.
fn settings(routers: usize, patience: u64) -> Value {
    let class = |name: &str, aim: u64, effect: &str, worth: f64| json!({"Name": name, "Aim": aim, "Idempotency": effect, "Worth": worth});
    json!({
        "Allowed": {"Cancel": true, "ConnectTimeout": 400_000, "IdleClose": 30_000_000, "MaxAttempts": 6,
            "MaxRetryAfter": 500_000, "MostHeld": 20_000, "RetryAfter": true, "StreamsPerConn": 100},
        "Balancers": routers,
        "Classes": [class("clip", 600_000 * patience, "repeatable", 2.0), class("page", 400_000 * patience, "repeatable", 1.0),
            class("filing", 700_000 * patience, "once", 3.0)],
        "FamilyInfo": {"MidKind": 1, "StoreKind": 2, "CountByZone": [0, routers], "FlowKbPerS": 8_000.0,
            "ZoneLinkKbPerS": [0.0, 800_000.0], "GoodFor": [0, 0, 0], "GraceFor": [0, 0, 0],
            "ClassWrite": [false, false, true], "ClassParts": [false, false, false], "PurgeSettles": 6_000_000,
            "ParentColdFrom": 0.5, "ParentRamp": 4_000_000, "ParentBreaksAt": 4.0},
        "Localities": ["hub", "here"], "Shapes": ["std", "parent", "origin"],
        "Safety": {"Cold": 4_000_000, "ColdFrom": 0.5, "Fall": 2_000_000, "FallMultiple": 4.0},
        "Zone": 1
    })
}
