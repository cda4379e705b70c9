/// Defines a numeric newtype that is displayed, parsed and serialized as the bare number.
macro_rules! number_newtype {
    ($(#[$doc:meta])* $name:ident($number:ty)) => {
        $(#[$doc])*
        #[derive(
            Clone,
            Copy,
            Debug,
            Default,
            derive_more::Display,
            Eq,
            derive_more::From,
            derive_more::FromStr,
            Hash,
            derive_more::Into,
            Ord,
            PartialEq,
            PartialOrd,
            serde::Deserialize,
            serde::Serialize,
        )]
        #[serde(transparent)]
        pub struct $name($number);
    };
}

pub(crate) use number_newtype;
