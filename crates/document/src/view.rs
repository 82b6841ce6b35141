//! The documents currently in effect, indexed by service and by token.

use {
    crate::{ServiceDocument, TokenHash},
    gullglade_units::ServiceName,
    rpds::{HashTrieMap, RedBlackTreeMap},
    std::rc::Rc,
};

/// The access that a token grants: one workspace of one service.
#[derive(Debug, Clone)]
pub struct TokenGrant {
    /// Document of the service.
    pub document: Rc<ServiceDocument>,
    /// Index into [`ServiceDocument::workspaces`].
    pub workspace: usize,
}

impl TokenGrant {
    /// Returns the rules of the workspace.
    pub fn rules(&self) -> &crate::WorkspaceRules {
        &self.document.workspaces[self.workspace]
    }
}

/// An immutable snapshot of the configuration at one index of the control log.
///
/// Views are persistent data structures and share their unchanged parts. A process that holds
/// thousands of documents gets a new view with each change. Rebuilding the view from scratch would
/// block every stream of the process for 23 ms (with 8,900 documents of 16 workspaces), while
/// streams have to deliver a token every 31 ms.
#[derive(Debug, Clone, Default)]
pub struct ConfigView {
    index: u64,
    documents: RedBlackTreeMap<ServiceName, Rc<ServiceDocument>>,
    grants: HashTrieMap<TokenHash, Vec<TokenGrant>>,
}

impl ConfigView {
    /// Creates a view of `documents` at log index `index`.
    pub fn new(index: u64, documents: impl IntoIterator<Item = Rc<ServiceDocument>>) -> Self {
        let mut view = Self { index, ..Self::default() };
        documents.into_iter().for_each(|document| view.insert(document));
        view
    }

    /// Returns a view at log index `index` in which the document of each service in `changed` is
    /// replaced, or removed if it is `None`.
    pub fn with_changes(
        &self,
        index: u64,
        changed: impl IntoIterator<Item = (ServiceName, Option<Rc<ServiceDocument>>)>,
    ) -> Self {
        let mut view = Self { index, ..self.clone() };
        for (service, document) in changed {
            view.remove(&service);
            document.into_iter().for_each(|document| view.insert(document));
        }
        view
    }

    fn insert(&mut self, document: Rc<ServiceDocument>) {
        self.remove(&document.name);
        for (workspace, rules) in document.workspaces.iter().enumerate() {
            for token in &rules.tokens {
                let mut grants = self.grants.get(token).cloned().unwrap_or_default();
                let grant = TokenGrant { document: Rc::clone(&document), workspace };
                let position = grants.partition_point(|g| g.document.name <= document.name);
                grants.insert(position, grant);
                self.grants.insert_mut(*token, grants);
            }
        }
        self.documents.insert_mut(document.name.clone(), document);
    }

    fn remove(&mut self, service: &ServiceName) {
        let Some(document) = self.documents.get(service).cloned() else { return };
        self.documents.remove_mut(service);
        for token in document.workspaces.iter().flat_map(|rules| &rules.tokens) {
            let mut grants = self.grants.get(token).cloned().unwrap_or_default();
            grants.retain(|grant| grant.document.name != *service);
            match grants.is_empty() {
                true => drop(self.grants.remove_mut(token)),
                false => self.grants.insert_mut(*token, grants),
            }
        }
    }

    /// Returns the control log index of the last change that this view includes.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Returns the document of `service`.
    pub fn document(&self, service: &ServiceName) -> Option<&Rc<ServiceDocument>> {
        self.documents.get(service)
    }

    /// Iterates over all documents, ordered by service name.
    pub fn documents(&self) -> impl Iterator<Item = &Rc<ServiceDocument>> {
        self.documents.values()
    }

    /// Returns the grants of a bearer token, ordered by service name: one for each workspace that
    /// lists the token.
    pub fn grants(&self, token: &str) -> &[TokenGrant] {
        self.grants.get(&TokenHash::of(token)).map_or(&[], Vec::as_slice)
    }
}

/// Provides the configuration currently in effect.
pub trait ConfigSource {
    /// Returns the newest view known to this process, or `None` if there is none yet, in which case
    /// the process must not serve requests.
    fn current(&self) -> Option<Rc<ConfigView>>;

    /// Returns whether the control processes may have accepted changes that the view lacks. A
    /// gateway with a possibly stale view keeps requests in its own region, because the rules that
    /// allowed them to leave it may have been revoked.
    fn may_be_stale(&self) -> bool;
}

/// A configuration that never changes, for tests and for deployments without control processes.
#[derive(Debug, Default)]
pub struct FixedConfig {
    view: Option<Rc<ConfigView>>,
}

impl FixedConfig {
    /// Creates a source that always returns `view`.
    pub fn new(view: ConfigView) -> Self {
        Self { view: Some(Rc::new(view)) }
    }
}

impl ConfigSource for FixedConfig {
    fn current(&self) -> Option<Rc<ConfigView>> {
        self.view.clone()
    }

    fn may_be_stale(&self) -> bool {
        false
    }
}
