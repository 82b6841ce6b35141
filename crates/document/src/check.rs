//! The checks that turn a parsed document into one that the system may act on.

use {
    crate::{
        BackendRules, DocumentError, IdempotencyRule, LatencyTarget, ModelUse, PlainServiceUse,
        RequestLimits, ServiceDocument, WorkspaceRules,
        raw::{RawDocument, RawLimits, RawRule, RawTarget, RawWorkspace},
    },
    gullglade_units::{ModelName, RegionName},
    std::{collections::BTreeSet, fmt::Display, time::Duration},
};

/// Methods that a rule may name.
const METHODS: [&str; 5] = ["POST", "PUT", "PATCH", "DELETE", "GET"];

/// Checks `raw`, which was parsed from `text`; errors name the line of the value at fault.
pub(crate) fn check_document(
    text: &str,
    raw: RawDocument,
) -> Result<ServiceDocument, DocumentError> {
    let checker = TextChecker { text };
    checker.regions(&raw)?;
    checker.unique("models", raw.models.iter().map(|m| m.name.as_str()))?;
    checker.unique("plain_services", raw.plain_services.iter().map(|p| p.name.as_str()))?;
    checker.unique("workspaces", raw.workspaces.iter().map(|w| w.name.as_str()))?;
    checker.uses_something(&raw)?;
    checker.share("latency_weight", raw.latency_weight)?;
    let claim_region = checker.claim_region(&raw)?;
    let limits = checker.limits(&raw.limits)?;
    let target = checker.target(&raw.target)?;
    let backends = checker.backends(&raw)?;
    let models = raw
        .models
        .into_iter()
        .map(|m| {
            let regions = checker.subset("models.regions", m.regions, &raw.regions)?;
            Ok(ModelUse { name: m.name, regions })
        })
        .collect::<Result<Vec<_>, _>>()?;
    let plain_services = raw
        .plain_services
        .into_iter()
        .map(|p| {
            let regions = checker.subset("plain_services.regions", p.regions, &raw.regions)?;
            Ok(PlainServiceUse { name: p.name, regions })
        })
        .collect::<Result<Vec<_>, _>>()?;
    let non_idempotent = raw
        .non_idempotent
        .into_iter()
        .map(|rule| checker.rule(rule, &models))
        .collect::<Result<_, _>>()?;
    let workspaces = raw
        .workspaces
        .into_iter()
        .map(|w| checker.workspace(w, &raw.regions))
        .collect::<Result<_, _>>()?;
    Ok(ServiceDocument {
        name: raw.service,
        regions: raw.regions,
        claim_region,
        latency_weight: raw.latency_weight,
        models,
        plain_services,
        non_idempotent,
        backends,
        limits,
        target,
        workspaces,
    })
}

/// Checks values against the text they came from, so that a refusal can name the line.
struct TextChecker<'a> {
    text: &'a str,
}

impl TextChecker<'_> {
    /// The first line, from 1, on which `value` stands; 1 where it stands nowhere (a default).
    fn line(&self, value: &str) -> usize {
        self.text.lines().position(|line| line.contains(value)).map_or(1, |index| index + 1)
    }

    fn refuse<T>(
        &self,
        at: &str,
        key: &'static str,
        reason: impl Display,
        remedy: impl Display,
    ) -> Result<T, DocumentError> {
        Err(DocumentError::InvalidValue {
            line: self.line(at),
            key,
            reason: reason.to_string(),
            remedy: remedy.to_string(),
        })
    }

    fn regions(&self, raw: &RawDocument) -> Result<(), DocumentError> {
        if raw.regions.is_empty() {
            return self.refuse(
                "regions",
                "regions",
                "no region is allowed, so no request could ever run",
                "name at least one region",
            );
        }
        self.unique("regions", raw.regions.iter().map(RegionName::as_str))
    }

    fn unique<'n>(
        &self,
        key: &'static str,
        names: impl Iterator<Item = &'n str>,
    ) -> Result<(), DocumentError> {
        let mut seen = BTreeSet::new();
        for name in names {
            if !seen.insert(name) {
                return self.refuse(
                    name,
                    key,
                    format_args!("{name:?} stands twice"),
                    "remove one of the two",
                );
            }
        }
        Ok(())
    }

    fn uses_something(&self, raw: &RawDocument) -> Result<(), DocumentError> {
        if raw.models.is_empty() && raw.plain_services.is_empty() {
            return self.refuse(
                "service",
                "models",
                "the service uses neither a model nor a plain service",
                "add a [[models]] or [[plain_services]] entry",
            );
        }
        if raw.workspaces.is_empty() {
            return self.refuse(
                "workspaces",
                "workspaces",
                "nobody may call the service",
                "add a [[workspaces]] entry with a token hash",
            );
        }
        Ok(())
    }

    fn claim_region(&self, raw: &RawDocument) -> Result<RegionName, DocumentError> {
        let Some(region) = &raw.claim_region else { return Ok(raw.regions[0].clone()) };
        if raw.regions.contains(region) {
            return Ok(region.clone());
        }
        self.refuse(
            "claim_region",
            "claim_region",
            format_args!("{region} is not among the service's regions"),
            "name one of `regions`",
        )
    }

    fn subset(
        &self,
        key: &'static str,
        regions: Option<Vec<RegionName>>,
        allowed: &[RegionName],
    ) -> Result<Vec<RegionName>, DocumentError> {
        let Some(regions) = regions else { return Ok(allowed.to_vec()) };
        if regions.is_empty() {
            return self.refuse(
                "regions = []",
                key,
                "the list is empty, so it could never run",
                "name a region, or leave the key out to allow all of the service's regions",
            );
        }
        self.unique(key, regions.iter().map(RegionName::as_str))?;
        if let Some(region) = regions.iter().find(|r| !allowed.contains(r)) {
            return self.refuse(
                region.as_str(),
                key,
                format_args!("{region} is not among the service's regions"),
                "add it to `regions` if the data may travel there, or remove it here",
            );
        }
        Ok(regions)
    }

    fn share(&self, key: &'static str, value: f64) -> Result<(), DocumentError> {
        if (0.0..=1.0).contains(&value) {
            return Ok(());
        }
        self.refuse(key, key, format_args!("{value} is outside 0 to 1"), "give a share from 0 to 1")
    }

    fn positive(&self, key: &'static str, value: u64) -> Result<(), DocumentError> {
        if value > 0 {
            return Ok(());
        }
        self.refuse(key, key, "0 would refuse every request", "give 1 or more, or leave it out")
    }

    fn limits(&self, raw: &RawLimits) -> Result<RequestLimits, DocumentError> {
        self.positive("body_bytes", raw.body_bytes as u64)?;
        self.positive("answer_bytes", raw.answer_bytes as u64)?;
        self.positive("deadline_ms", raw.deadline_ms)?;
        self.share("retry_share", raw.retry_share)?;
        self.share("away_share", raw.away_share)?;
        Ok(RequestLimits {
            body_bytes: raw.body_bytes,
            answer_bytes: raw.answer_bytes,
            deadline: Duration::from_millis(raw.deadline_ms),
            retry_share: raw.retry_share,
            away_share: raw.away_share,
        })
    }

    fn target(&self, raw: &RawTarget) -> Result<LatencyTarget, DocumentError> {
        self.positive("first_token_ms", raw.first_token_ms)?;
        Ok(LatencyTarget { first_token: Duration::from_millis(raw.first_token_ms) })
    }

    fn backends(&self, raw: &RawDocument) -> Result<BackendRules, DocumentError> {
        let rules = &raw.backends;
        self.unique("backends.names", rules.names.iter().map(|n| n.as_str()))?;
        self.unique("backends.retired", rules.retired.iter().map(|n| n.as_str()))?;
        Ok(BackendRules {
            names: rules.names.clone(),
            tokens: rules.token_sha256.clone(),
            retired: rules.retired.clone(),
        })
    }

    fn rule(&self, rule: RawRule, models: &[ModelUse]) -> Result<IdempotencyRule, DocumentError> {
        match rule {
            RawRule { model: Some(model), method: None, path: None } => {
                self.model_rule(model, models)
            }
            RawRule { model: None, method: Some(method), path: Some(path) } => {
                self.path_rule(method, path)
            }
            _ => self.refuse(
                "non_idempotent",
                "non_idempotent",
                "a rule names either a model, or a method and a path",
                "give `model`, or both `method` and `path`",
            ),
        }
    }

    fn model_rule(
        &self,
        model: ModelName,
        models: &[ModelUse],
    ) -> Result<IdempotencyRule, DocumentError> {
        if models.iter().any(|m| m.name == model) {
            return Ok(IdempotencyRule::Model(model));
        }
        self.refuse(
            model.as_str(),
            "non_idempotent.model",
            format_args!("the service does not use model {model}"),
            "add it to [[models]] or remove the rule",
        )
    }

    fn path_rule(&self, method: String, path: String) -> Result<IdempotencyRule, DocumentError> {
        if !METHODS.contains(&method.as_str()) {
            return self.refuse(
                &method,
                "non_idempotent.method",
                format_args!("{method:?} is not a method"),
                format_args!("give one of {}", METHODS.join(", ")),
            );
        }
        if !path.starts_with('/') {
            return self.refuse(
                &path,
                "non_idempotent.path",
                format_args!("{path:?} is not absolute, so it would match nothing"),
                "begin it with '/', as in /services/order-desk/orders",
            );
        }
        Ok(IdempotencyRule::Path { method, path })
    }

    fn workspace(
        &self,
        raw: RawWorkspace,
        regions: &[RegionName],
    ) -> Result<WorkspaceRules, DocumentError> {
        if raw.token_sha256.is_empty() {
            return self.refuse(
                raw.name.as_str(),
                "workspaces.token_sha256",
                format_args!("workspace {} has no token, so it cannot call", raw.name),
                "add the hash that `gladectl key token` prints",
            );
        }
        if let Some(home) = raw.home.as_ref().filter(|home| !regions.contains(home)) {
            return self.refuse(
                home.as_str(),
                "workspaces.home",
                format_args!("{home} is not among the service's regions"),
                "name one of `regions`",
            );
        }
        if raw.share == 0 {
            return self.refuse(
                "share = 0",
                "workspaces.share",
                format_args!("workspace {} would wait for ever", raw.name),
                "give 1 or more",
            );
        }
        Ok(WorkspaceRules {
            name: raw.name,
            tokens: raw.token_sha256,
            home: raw.home,
            share: raw.share,
            priority: raw.priority,
        })
    }
}
