"""Generated code of the messages between instances; see script/gen_proto."""
