//! Checks across sections and assembly of the validated document.

use std::collections::BTreeMap;

use ids::{ClassName, ContentHash, PresetName, ServiceName};

use super::{DocumentDraft, FULL_PERMILLE, PRESETS};
use crate::ini::Location;
use crate::model::{Document, Service};
use crate::{Result, packed, render};

impl DocumentDraft {
    /// Validates a whole document and computes the content hash of its root.
    pub fn finish_whole(mut self) -> Result<Document> {
        if self.services.is_empty() {
            let expected = "at least one section service.<name>";
            self.reader.report_section(1, "", expected);
        }
        let locations = self.services.clone();
        let mut document = self.build_document();
        if let Some(document) = &document {
            self.check_sizes(document, &locations);
        }
        if let (Some(document), true) = (&mut document, self.reader.problems.is_empty()) {
            document.root_hash = packed::pack(document, None)?.root_hash;
        }
        self.reader.finish(document)
    }

    /// Validates a document that was read from the parts of a published root.
    pub fn finish_parts(mut self, root_hash: ContentHash) -> Result<Document> {
        let mut document = self.build_document();
        if let Some(document) = &mut document {
            document.root_hash = root_hash;
        }
        self.reader.finish(document)
    }

    fn build_document(&mut self) -> Option<Document> {
        self.check_presets();
        self.check_services();
        self.resolve_shares();
        self.check_share_sums();
        let services = self.services.keys().map(|name| {
            let classes = self.classes.remove(name).unwrap_or_default();
            let targets = self.targets.remove(name).unwrap_or_default();
            let service = Service {
                classes: without_locations(classes),
                targets: without_locations(targets),
            };
            (name.clone(), service)
        });
        let services = services.collect();
        let (preset, _) = self.preset.take()?;
        Some(Document {
            version: self.version?,
            root_hash: ContentHash([0; 16]),
            preset,
            presets: std::mem::take(&mut self.presets),
            services,
            alerts: std::mem::take(&mut self.alerts),
        })
    }

    fn check_presets(&mut self) {
        for name in PRESETS {
            let is_known = self.presets.keys().any(|known| known.as_str() == name);
            if !is_known {
                let section = format!("preset.{name}");
                self.reader
                    .report_section(1, &section, "a section for this preset");
            }
        }
        if let Some((name, location)) = &self.preset
            && !self.presets.contains_key(name)
        {
            let known: Vec<_> = self.presets.keys().map(PresetName::as_str).collect();
            let expected = format!("one of the presets {}", known.join(", "));
            self.reader.report_at(
                *location,
                "document",
                "preset",
                Some(name.as_str()),
                &expected,
            );
        }
    }

    fn check_services(&mut self) {
        for (name, location) in &self.services {
            let section = format!("service.{name}");
            if !self.targets.contains_key(name) {
                let expected = format!("at least one section target.{name}.<target>");
                self.reader
                    .report_at(*location, &section, "", None, &expected);
            }
            if !self.classes.contains_key(name) {
                let expected = format!("at least one section class.{name}.<class>");
                self.reader
                    .report_at(*location, &section, "", None, &expected);
            }
        }
        let classes = self.classes.iter().flat_map(|(service, classes)| {
            let locations = classes.iter();
            locations
                .map(move |(class, (_, location))| ("class", service, class.as_str(), *location))
        });
        let targets = self.targets.iter().flat_map(|(service, targets)| {
            let locations = targets.iter();
            locations
                .map(move |(target, (_, location))| ("target", service, target.as_str(), *location))
        });
        for (kind, service, name, location) in classes.chain(targets) {
            if !self.services.contains_key(service) {
                let section = format!("{kind}.{service}.{name}");
                let expected = format!("a section service.{service}");
                self.reader
                    .report_at(location, &section, "", None, &expected);
            }
        }
    }

    fn resolve_shares(&mut self) {
        for share in &self.shares {
            let section = format!("preset.{}", share.preset);
            let key = format!("share.{}.{}", share.service, share.class);
            let classes = self.classes.get(&share.service);
            let expected = if !classes.is_some_and(|classes| classes.contains_key(&share.class)) {
                Some("a class of the document")
            } else if self.presets.contains_key(&share.preset) {
                None
            } else {
                Some("a preset of the document")
            };
            if let Some(expected) = expected {
                let value = share.share.to_string();
                self.reader
                    .report_at(share.location, &section, &key, Some(&value), expected);
            }
            if let Some(preset) = self.presets.get_mut(&share.preset) {
                let key = (share.service.clone(), share.class.clone());
                preset.shares.insert(key, share.share);
            }
        }
    }

    /// Reports services whose shares add up to more than all slots, with the classes' own shares or
    /// under a preset.
    fn check_share_sums(&mut self) {
        for (service, classes) in &self.classes {
            let Some(location) = self.services.get(service) else {
                continue;
            };
            let own: u32 = classes.values().map(|(class, _)| class.share.0).sum();
            let section = format!("service.{service}");
            if own > FULL_PERMILLE {
                let expected = format!("shares of its classes of at most 1000, got {own}");
                self.reader
                    .report_at(*location, &section, "", None, &expected);
            }
            for (name, preset) in &self.presets {
                let share_of = |class: &ClassName, own| {
                    let key = (service.clone(), class.clone());
                    preset.shares.get(&key).copied().unwrap_or(own)
                };
                let sum: u32 = classes
                    .iter()
                    .map(|(class, (value, _))| share_of(class, value.share).0)
                    .sum();
                if sum > FULL_PERMILLE && sum != own {
                    let expected = format!("shares under preset {name} of at most 1000, got {sum}");
                    self.reader
                        .report_at(*location, &section, "", None, &expected);
                }
            }
        }
    }

    fn check_sizes(&mut self, document: &Document, locations: &BTreeMap<ServiceName, Location>) {
        let limit = packed::MAX_VALUE_BYTES;
        for (name, location) in locations {
            let size_bytes = render::part(document, name).len();
            if size_bytes > limit {
                let expected = format!("a part of at most {limit} bytes, got {size_bytes}");
                let section = format!("service.{name}");
                self.reader
                    .report_at(*location, &section, "", None, &expected);
            }
        }
        let size_bytes = render::common(document).len();
        if size_bytes > limit {
            let expected = format!("presets and alerts of at most {limit} bytes, got {size_bytes}");
            self.reader.report_section(1, "alerts", &expected);
        }
    }
}

fn without_locations<K: Ord, V>(values: BTreeMap<K, (V, Location)>) -> BTreeMap<K, V> {
    let values = values.into_iter();
    values.map(|(name, (value, _))| (name, value)).collect()
}
