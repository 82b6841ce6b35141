//! The fingerprint of a caller's request, made when it is first asked for.

use {
    crate::CallerRequest,
    gullglade_poison::{ContentFingerprint, FingerprintKey, RequestContent},
    gullglade_units::WorkspaceName,
    http::header::AUTHORIZATION,
    std::{cell::OnceCell, rc::Rc},
};

/// The fingerprint of one request. While nothing is suspect no request is asked for its own, and
/// none is hashed twice, however often it is sent.
pub(crate) struct CallPrint {
    call: Rc<CallerRequest>,
    workspace: Option<WorkspaceName>,
    key: FingerprintKey,
    made: OnceCell<ContentFingerprint>,
}

impl CallPrint {
    /// That of `call`; `told`, where the gateway that sent it here has made it already.
    pub(crate) fn new(
        call: &Rc<CallerRequest>,
        workspace: Option<WorkspaceName>,
        key: FingerprintKey,
        told: Option<ContentFingerprint>,
    ) -> Rc<Self> {
        let made = told.map_or_else(OnceCell::new, OnceCell::from);
        Rc::new(Self { call: Rc::clone(call), workspace, key, made })
    }

    /// The request.
    pub(crate) fn call(&self) -> &CallerRequest {
        &self.call
    }

    /// The fingerprint.
    pub(crate) fn get(&self) -> ContentFingerprint {
        *self.made.get_or_init(|| {
            let call = &self.call;
            self.key.fingerprint(&RequestContent {
                method: call.method.as_str(),
                host: &call.host,
                target: &call.target,
                credentials: self.credentials(),
                body: &call.body,
            })
        })
    }

    /// Who calls. The same request under another key of its workspace is the same request.
    fn credentials(&self) -> &[u8] {
        match &self.workspace {
            Some(workspace) => workspace.as_str().as_bytes(),
            None => self.call.headers.get(AUTHORIZATION).map_or(&[], |value| value.as_bytes()),
        }
    }

    /// The fingerprint, where it was made.
    pub(crate) fn made(&self) -> Option<ContentFingerprint> {
        self.made.get().copied()
    }
}
