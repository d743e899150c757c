"""An instance whose fleet shares its state by datagrams between the instances."""
