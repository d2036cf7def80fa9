//! Stand-ins for the key-value service, the VM list, model engines and application endpoints.
