//! By what a request is recognised when it comes again, with another identifier and at another router.

use {
    siskin_types::id::{Customer, Feature},
    std::fmt,
};

/// Most parts of a prompt that are used to recognise a request.
const PARTS_MAX: usize = 15;

/// The features of one request, or some of them.
///
/// ```
/// use {siskin_outcome::features::Features, siskin_types::id::Customer};
/// let features = |body: &[u8]| Features::new(Customer(1), &[b"POST", b"/draft", body], "engines", [7, 8]);
/// assert_eq!(features(b"a"), features(b"a"));
/// assert_ne!(features(b"a"), features(b"b"), "the content differs, the parts are the same");
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Features(Vec<Feature>);

impl Features {
    /// Computes the features of a request: `content` is what makes a repeated request the same one, `parts` identify the
    /// shared parts of its prompt for a service.
    #[must_use]
    pub fn new(
        customer: Customer,
        content: &[&[u8]],
        service: &str,
        parts: impl IntoIterator<Item = u64>,
    ) -> Self {
        let mut content_hash = hasher("content", &customer.0.to_le_bytes());
        for field in content {
            update_with_length(&mut content_hash, field);
        }
        let part_feature = |part: u64| {
            let mut hasher = hasher("part", service.as_bytes());
            hasher.update(&part.to_le_bytes());
            finish(&hasher)
        };
        let parts = parts.into_iter().take(PARTS_MAX).map(part_feature);
        Self(std::iter::once(finish(&content_hash)).chain(parts).collect())
    }

    /// Collects features that were computed before.
    pub(crate) const fn from_vec(features: Vec<Feature>) -> Self {
        Self(features)
    }

    pub(crate) fn remove(&mut self, feature: Feature) {
        self.0.retain(|one| *one != feature);
    }

    /// Whether all features of `other` are among these.
    #[must_use]
    pub fn include(&self, other: &Self) -> bool {
        other.0.iter().all(|feature| self.0.contains(feature))
    }

    /// The features; that of the content of a request comes first.
    #[must_use]
    pub fn as_slice(&self) -> &[Feature] {
        &self.0
    }

    /// The feature of the content.
    #[must_use]
    pub fn content(&self) -> Option<Feature> {
        self.0.first().copied()
    }
}

impl fmt::Display for Features {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, feature) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(f, "{separator}{feature}")?;
        }
        Ok(())
    }
}

/// A hasher for features of a kind that belong to a scope.
fn hasher(kind: &str, scope: &[u8]) -> blake3::Hasher {
    let mut hasher = blake3::Hasher::new();
    update_with_length(&mut hasher, kind.as_bytes());
    update_with_length(&mut hasher, scope);
    hasher
}

/// Adds a field with its length, so that two different lists of fields have different hashes.
fn update_with_length(hasher: &mut blake3::Hasher, field: &[u8]) {
    hasher.update(&(field.len() as u64).to_le_bytes());
    hasher.update(field);
}

fn finish(hasher: &blake3::Hasher) -> Feature {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    Feature(u64::from_le_bytes(bytes))
}
