//! Enums for the states and events of a chart.

use std::fmt::Debug;

/// An enum of the states or the events of a chart, declared with [`labels!`](crate::labels).
pub trait Label: Debug + Copy + Eq + 'static {
    /// Returns all values in the order of [`Label::index`].
    fn all() -> &'static [Self];

    /// Returns the name of the value in chart files.
    fn name(self) -> &'static str;

    /// Returns the position of the value in [`Label::all`].
    fn index(self) -> usize;
}

/// Declares an enum that implements [`Label`], with the name of each value in chart files.
///
/// ```
/// chart::labels! {
///     /// States of a lamp.
///     pub enum Lamp {
///         /// Dark.
///         Off = "off",
///         /// Lit.
///         On = "on",
///     }
/// }
/// assert_eq!(chart::Label::name(Lamp::On), "on");
/// ```
#[macro_export]
macro_rules! labels {
    ($(#[$meta:meta])* $vis:vis enum $name:ident {
        $($(#[$value_meta:meta])* $value:ident = $text:literal),+ $(,)?
    }) => {
        $(#[$meta])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        $vis enum $name {
            $($(#[$value_meta])* $value,)+
        }

        impl $crate::Label for $name {
            fn all() -> &'static [Self] {
                &[$(Self::$value),+]
            }

            fn name(self) -> &'static str {
                match self {
                    $(Self::$value => $text,)+
                }
            }

            fn index(self) -> usize {
                self as usize
            }
        }
    };
}
