/// Declares plain data with the common set of derives, so that no type of the project forgets one.
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

/// Declares small plain data that is also `Copy`, ordered and hashable, such as a key of a map.
#[macro_export]
macro_rules! plain_copy {
    ($($item:item)*) => {
        $( #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)] $item )*
    };
}
