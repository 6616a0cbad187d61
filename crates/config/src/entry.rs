//! Defines an item of the configuration together with its spec.

/// Defines `item::$name`, with the id and the fields that the state machine assigns, and `spec::$name`, with the
/// fields that operators write. Both list the same fields, so they come from one definition.
macro_rules! entry {
    (
        $(#[$doc:meta])*
        pub struct $name:ident {
            $( $(#[$field_doc:meta])* pub $field:ident: $type:ty, )*
            assigned { $( $(#[$own_doc:meta])* pub $own:ident: $own_type:ty, )* }
        }
    ) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
        #[serde(deny_unknown_fields)]
        pub struct $name {
            /// Assigned by the state machine; 0 in a text that was written by hand.
            #[serde(default)]
            pub id: primrose_base::id::$name,
            /// The name for people, unique in its list.
            pub name: primrose_base::name::Name,
            $( $(#[$field_doc])* pub $field: $type, )*
            $( $(#[$own_doc])* #[serde(default)] pub $own: $own_type, )*
        }

        impl $name {
            /// The fields that an operator writes.
            pub fn spec(&self) -> crate::spec::$name {
                crate::spec::$name {
                    name: self.name.clone(),
                    $( $field: self.$field.clone(), )*
                }
            }

            /// An item with the fields of `spec`.
            pub fn from_spec(
                id: primrose_base::id::$name,
                spec: crate::spec::$name,
                $( $own: $own_type, )*
            ) -> $name {
                $name {
                    id,
                    name: spec.name,
                    $( $field: spec.$field, )*
                    $( $own, )*
                }
            }
        }

        impl crate::table::Entry for $name {
            type Id = primrose_base::id::$name;

            fn id(&self) -> Self::Id {
                self.id
            }

            fn name(&self) -> &primrose_base::name::Name {
                &self.name
            }
        }
    };
}

pub(crate) use entry;
