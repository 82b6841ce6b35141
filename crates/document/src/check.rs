//! Validation of a parsed document.

use {
    crate::{
        BackendRules, DocumentError, IdempotencyRule, LatencyTarget, ModelUse, PlainServiceUse,
        RequestLimits, ServiceDocument, WorkspaceRules,
        raw::{RawDocument, RawIdempotencyRule, RawLatencyTarget, RawLimits, RawWorkspace},
    },
    gullglade_units::{ModelName, RegionName},
    std::{collections::BTreeSet, fmt::Display, time::Duration},
};

/// HTTP methods that an [`IdempotencyRule`] may name.
const RULE_METHODS: [&str; 5] = ["POST", "PUT", "PATCH", "DELETE", "GET"];

/// Validates `raw`, which was parsed from `text`.
///
/// # Errors
///
/// [`DocumentError::InvalidValue`] with the line of the first invalid value.
pub(crate) fn validate_document(
    text: &str,
    raw: RawDocument,
) -> Result<ServiceDocument, DocumentError> {
    let validator = Validator { text };
    validator.check_regions(&raw)?;
    validator.check_unique("models", raw.models.iter().map(|m| m.name.as_str()))?;
    validator.check_unique("plain_services", raw.plain_services.iter().map(|p| p.name.as_str()))?;
    validator.check_unique("workspaces", raw.workspaces.iter().map(|w| w.name.as_str()))?;
    validator.check_not_empty(&raw)?;
    validator.check_share("latency_weight", raw.latency_weight)?;
    let claim_region = validator.resolve_claim_region(&raw)?;
    let limits = validator.validate_limits(&raw.limits)?;
    let target = validator.validate_target(&raw.target)?;
    let backends = validator.validate_backends(&raw)?;
    let models = raw
        .models
        .into_iter()
        .map(|m| {
            let regions = validator.resolve_regions("models.regions", m.regions, &raw.regions)?;
            Ok(ModelUse { name: m.name, regions })
        })
        .collect::<Result<Vec<_>, _>>()?;
    let plain_services = raw
        .plain_services
        .into_iter()
        .map(|p| {
            let regions =
                validator.resolve_regions("plain_services.regions", p.regions, &raw.regions)?;
            Ok(PlainServiceUse { name: p.name, regions })
        })
        .collect::<Result<Vec<_>, _>>()?;
    let non_idempotent = raw
        .non_idempotent
        .into_iter()
        .map(|rule| validator.validate_rule(rule, &models))
        .collect::<Result<_, _>>()?;
    let workspaces = raw
        .workspaces
        .into_iter()
        .map(|w| validator.validate_workspace(w, &raw.regions))
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

/// Validates parsed values. Holds the text of the document so that errors can state the line.
struct Validator<'a> {
    text: &'a str,
}

impl Validator<'_> {
    /// Returns the number, starting at 1, of the first line that contains `value`; 1 if no line
    /// does, as for a default value.
    fn find_line(&self, value: &str) -> usize {
        self.text.lines().position(|line| line.contains(value)).map_or(1, |index| index + 1)
    }

    fn reject<T>(
        &self,
        search_text: &str,
        key: &'static str,
        reason: impl Display,
        remedy: impl Display,
    ) -> Result<T, DocumentError> {
        Err(DocumentError::InvalidValue {
            line: self.find_line(search_text),
            key,
            reason: reason.to_string(),
            remedy: remedy.to_string(),
        })
    }

    fn check_regions(&self, raw: &RawDocument) -> Result<(), DocumentError> {
        if raw.regions.is_empty() {
            return self.reject(
                "regions",
                "regions",
                "the list is empty, so no request could run",
                "name at least one region",
            );
        }
        self.check_unique("regions", raw.regions.iter().map(RegionName::as_str))
    }

    fn check_unique<'n>(
        &self,
        key: &'static str,
        names: impl Iterator<Item = &'n str>,
    ) -> Result<(), DocumentError> {
        let mut seen = BTreeSet::new();
        for name in names {
            if !seen.insert(name) {
                return self.reject(
                    name,
                    key,
                    format_args!("{name:?} is listed twice"),
                    "remove one of the entries",
                );
            }
        }
        Ok(())
    }

    fn check_not_empty(&self, raw: &RawDocument) -> Result<(), DocumentError> {
        if raw.models.is_empty() && raw.plain_services.is_empty() {
            return self.reject(
                "service",
                "models",
                "the service has neither a model nor a plain service",
                "add a [[models]] or [[plain_services]] entry",
            );
        }
        if raw.workspaces.is_empty() {
            return self.reject(
                "workspaces",
                "workspaces",
                "no workspace may call the service",
                "add a [[workspaces]] entry with a token hash",
            );
        }
        Ok(())
    }

    fn resolve_claim_region(&self, raw: &RawDocument) -> Result<RegionName, DocumentError> {
        let Some(region) = &raw.claim_region else { return Ok(raw.regions[0].clone()) };
        if raw.regions.contains(region) {
            return Ok(region.clone());
        }
        self.reject(
            "claim_region",
            "claim_region",
            format_args!("{region} is not among the service's regions"),
            "name one of `regions`",
        )
    }

    fn resolve_regions(
        &self,
        key: &'static str,
        regions: Option<Vec<RegionName>>,
        allowed: &[RegionName],
    ) -> Result<Vec<RegionName>, DocumentError> {
        let Some(regions) = regions else { return Ok(allowed.to_vec()) };
        if regions.is_empty() {
            return self.reject(
                "regions = []",
                key,
                "the list is empty, so it could not run in any region",
                "name a region, or remove the key to allow all of the service's regions",
            );
        }
        self.check_unique(key, regions.iter().map(RegionName::as_str))?;
        if let Some(region) = regions.iter().find(|r| !allowed.contains(r)) {
            return self.reject(
                region.as_str(),
                key,
                format_args!("{region} is not among the service's regions"),
                "add it to `regions` if the data may travel there, or remove it here",
            );
        }
        Ok(regions)
    }

    fn check_share(&self, key: &'static str, value: f64) -> Result<(), DocumentError> {
        if (0.0..=1.0).contains(&value) {
            return Ok(());
        }
        self.reject(
            key,
            key,
            format_args!("{value} is not between 0 and 1"),
            "give a value between 0 and 1",
        )
    }

    fn check_positive(&self, key: &'static str, value: u64) -> Result<(), DocumentError> {
        if value > 0 {
            return Ok(());
        }
        self.reject(
            key,
            key,
            "0 would reject every request",
            "give 1 or more, or remove the key for the default",
        )
    }

    fn validate_limits(&self, raw: &RawLimits) -> Result<RequestLimits, DocumentError> {
        self.check_positive("body_bytes", raw.body_bytes as u64)?;
        self.check_positive("answer_bytes", raw.answer_bytes as u64)?;
        self.check_positive("deadline_ms", raw.deadline_ms)?;
        self.check_share("retry_share", raw.retry_share)?;
        self.check_share("away_share", raw.away_share)?;
        Ok(RequestLimits {
            body_bytes: raw.body_bytes,
            answer_bytes: raw.answer_bytes,
            deadline: Duration::from_millis(raw.deadline_ms),
            retry_share: raw.retry_share,
            away_share: raw.away_share,
        })
    }

    fn validate_target(&self, raw: &RawLatencyTarget) -> Result<LatencyTarget, DocumentError> {
        self.check_positive("first_token_ms", raw.first_token_ms)?;
        Ok(LatencyTarget { first_token: Duration::from_millis(raw.first_token_ms) })
    }

    fn validate_backends(&self, raw: &RawDocument) -> Result<BackendRules, DocumentError> {
        let rules = &raw.backends;
        self.check_unique("backends.names", rules.names.iter().map(|n| n.as_str()))?;
        self.check_unique("backends.retired", rules.retired.iter().map(|n| n.as_str()))?;
        Ok(BackendRules {
            names: rules.names.clone(),
            tokens: rules.token_sha256.clone(),
            retired: rules.retired.clone(),
        })
    }

    fn validate_rule(
        &self,
        rule: RawIdempotencyRule,
        models: &[ModelUse],
    ) -> Result<IdempotencyRule, DocumentError> {
        match rule {
            RawIdempotencyRule { model: Some(model), method: None, path: None } => {
                self.validate_model_rule(model, models)
            }
            RawIdempotencyRule { model: None, method: Some(method), path: Some(path) } => {
                self.validate_path_rule(method, path)
            }
            _ => self.reject(
                "non_idempotent",
                "non_idempotent",
                "a rule names either a model, or a method and a path",
                "give `model`, or both `method` and `path`",
            ),
        }
    }

    fn validate_model_rule(
        &self,
        model: ModelName,
        models: &[ModelUse],
    ) -> Result<IdempotencyRule, DocumentError> {
        if models.iter().any(|m| m.name == model) {
            return Ok(IdempotencyRule::Model(model));
        }
        self.reject(
            model.as_str(),
            "non_idempotent.model",
            format_args!("the service does not use model {model}"),
            "add it to [[models]] or remove the rule",
        )
    }

    fn validate_path_rule(
        &self,
        method: String,
        path: String,
    ) -> Result<IdempotencyRule, DocumentError> {
        if !RULE_METHODS.contains(&method.as_str()) {
            return self.reject(
                &method,
                "non_idempotent.method",
                format_args!("{method:?} is not an allowed method"),
                format_args!("give one of {}", RULE_METHODS.join(", ")),
            );
        }
        if !path.starts_with('/') {
            return self.reject(
                &path,
                "non_idempotent.path",
                format_args!("{path:?} is not absolute, so it would match no request"),
                "begin it with '/', as in /services/order-desk/orders",
            );
        }
        Ok(IdempotencyRule::Path { method, path })
    }

    fn validate_workspace(
        &self,
        raw: RawWorkspace,
        regions: &[RegionName],
    ) -> Result<WorkspaceRules, DocumentError> {
        if raw.token_sha256.is_empty() {
            return self.reject(
                raw.name.as_str(),
                "workspaces.token_sha256",
                format_args!("workspace {} has no token, so it cannot call", raw.name),
                "add the hash that `gladectl key token` prints",
            );
        }
        if let Some(home) = raw.home.as_ref().filter(|home| !regions.contains(home)) {
            return self.reject(
                home.as_str(),
                "workspaces.home",
                format_args!("{home} is not among the service's regions"),
                "name one of `regions`",
            );
        }
        if raw.share == 0 {
            return self.reject(
                "share = 0",
                "workspaces.share",
                format_args!("workspace {} would never be served", raw.name),
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
