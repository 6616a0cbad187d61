//! A macro that defines an item of the configuration together with its spec.

/// Defines `item::$name`: the id, the fields of `spec::$name`, which operators write, and after `assigned` the fields
/// that the state machine assigns. The conversions between the two types are generated, so they cover every field.
macro_rules! define_item {
    (
        $(#[$doc:meta])*
        pub struct $name:ident {
            $( $(#[$field_doc:meta])* pub $field:ident: $type:ty, )*
            assigned { $( $(#[$assigned_doc:meta])* pub $assigned:ident: $assigned_type:ty, )* }
        }
    ) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
        #[serde(deny_unknown_fields)]
        pub struct $name {
            /// Assigned by the state machine, never reused; 0 if a text written by hand leaves it out.
            #[serde(default)]
            pub id: primrose_base::id::$name,
            /// Name that operators use, unique among the items of this type.
            pub name: primrose_base::name::Name,
            $( $(#[$field_doc])* pub $field: $type, )*
            $( $(#[$assigned_doc])* #[serde(default)] pub $assigned: $assigned_type, )*
        }

        impl $name {
            /// The fields that an operator writes, without the id and the other assigned fields.
            pub fn spec(&self) -> crate::spec::$name {
                crate::spec::$name {
                    name: self.name.clone(),
                    $( $field: self.$field.clone(), )*
                }
            }

            /// Builds the item from the operator's fields in `spec` and the assigned ones.
            pub fn from_spec(
                id: primrose_base::id::$name,
                spec: crate::spec::$name,
                $( $assigned: $assigned_type, )*
            ) -> $name {
                $name {
                    id,
                    name: spec.name,
                    $( $field: spec.$field, )*
                    $( $assigned, )*
                }
            }
        }

        impl crate::table::Item for $name {
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

pub(crate) use define_item;
