//! Command `pollenpin route`.

use std::path::Path;

use balance::placement;
use balance::view::Candidate;
use conf::model::{Target, TargetState};
use ids::{DomainName, FlowId, ServiceName, TargetName};
use serde::Serialize;
use wire::token::TargetId;

use crate::placement::serving_target_set;
use crate::read_document;
use crate::report::{Error, ExitStatus, Report, Result};
use crate::table::Table;

#[derive(Debug, Serialize)]
struct Route {
    service: ServiceName,
    flow: String,
    domain: Option<DomainName>,
    choice: Option<TargetName>,
    why: String,
    candidates: Vec<RankedTarget>,
}

#[derive(Debug, Serialize)]
struct RankedTarget {
    target: TargetName,
    domain: DomainName,
    weight: u32,
    /// `None` if the target accepts no new flows.
    score: Option<f64>,
    note: &'static str,
}

/// Explains on which target a flow is placed and why.
pub fn run(
    file: &Path,
    service: &ServiceName,
    flow: FlowId,
    domain: Option<&DomainName>,
) -> Result<Report> {
    let document = read_document(file)?;
    let Some(found) = document.services.get(service) else {
        let known: Vec<_> = document.services.keys().map(ServiceName::as_str).collect();
        return Err(Error::UnknownService {
            service: service.clone(),
            file: file.display().to_string(),
            known: known.join(", "),
        });
    };
    let caller = domain.map_or("", DomainName::as_str);
    let set = serving_target_set(service, found);
    let choice = placement::place(&set, caller, flow.0);
    let name_of = |candidate: &Candidate| {
        let mut names = found.targets.keys();
        names.find(|name| TargetId::new(service, name) == candidate.target)
    };
    let chosen = choice.and_then(name_of);
    let mut candidates: Vec<_> = found
        .targets
        .iter()
        .map(|(name, target)| rank_target(service, name, target, flow, chosen == Some(name)))
        .collect();
    let score = |ranked: &RankedTarget| ranked.score.unwrap_or(f64::NEG_INFINITY);
    candidates.sort_by(|a, b| score(b).total_cmp(&score(a)));
    let route = Route {
        service: service.clone(),
        flow: flow.to_string(),
        domain: domain.cloned(),
        choice: chosen.cloned(),
        why: explain_choice(choice, domain),
        candidates,
    };
    let exit_status = if route.choice.is_some() {
        ExitStatus::Success
    } else {
        ExitStatus::Findings
    };
    Report::new(render(&route), &route, exit_status)
}

fn rank_target(
    service: &ServiceName,
    name: &TargetName,
    target: &Target,
    flow: FlowId,
    is_chosen: bool,
) -> RankedTarget {
    let candidate = Candidate {
        target: TargetId::new(service, name),
        domain: target.domain.clone(),
        weight: target.weight.0,
    };
    let note = match target.state {
        TargetState::Draining => "draining",
        TargetState::Serving if target.weight.0 == 0 => "weight 0",
        TargetState::Serving if is_chosen => "choice",
        TargetState::Serving => "",
    };
    let accepts_new = matches!(note, "" | "choice");
    RankedTarget {
        target: name.clone(),
        domain: target.domain.clone(),
        weight: target.weight.0,
        score: accepts_new.then(|| placement::rendezvous_score(&candidate, flow.0)),
        note,
    }
}

fn explain_choice(choice: Option<&Candidate>, domain: Option<&DomainName>) -> String {
    match (choice, domain) {
        (None, _) => "no target of the service takes new flows".to_owned(),
        (Some(_), None) => {
            "greatest score of all targets; no failure domain of the caller was given".to_owned()
        }
        (Some(found), Some(domain)) if found.domain == *domain => {
            format!("greatest score of the targets in failure domain {domain}, which come first")
        }
        (Some(_), Some(domain)) => format!(
            "greatest score of all targets; none in failure domain {domain} takes new flows"
        ),
    }
}

fn render(route: &Route) -> String {
    let mut table = Table::new(&["TARGET", "DOMAIN", "WEIGHT", "SCORE", ""]);
    for ranked in &route.candidates {
        let score = ranked.score.map(|score| format!("{score:.3}"));
        let score = score.unwrap_or_else(|| "-".to_owned());
        table.add_row(&[
            &ranked.target,
            &ranked.domain,
            &ranked.weight,
            &score,
            &ranked.note,
        ]);
    }
    let choice = route.choice.as_ref().map_or("none", TargetName::as_str);
    format!(
        "flow {} of service {}: {choice}\n{}\n\n{}",
        route.flow,
        route.service,
        route.why,
        table.render()
    )
}
