/// Declares plain data types with the common set of derives, so that none is forgotten on a type.
///
/// ```
/// nutmegwheel_types::plain! {
///     /// A point on the map.
///     pub struct Point {
///         /// Metres east of the origin.
///         pub x: i64,
///     }
/// }
/// assert_eq!(Point { x: 1 }, Point { x: 1 }.clone());
/// ```
#[macro_export]
macro_rules! plain {
    ($($item:item)*) => { $( #[derive(Clone, Debug, PartialEq, Eq)] $item )* };
}

/// Declares small plain data types that are also `Copy`, ordered and hashable, such as map keys.
#[macro_export]
macro_rules! plain_copy {
    ($($item:item)*) => {
        $( #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)] $item )*
    };
}
